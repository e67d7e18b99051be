package core

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/state/roles"
)

// Timing of registrations and of the choice of replicas.
const (
	// registerRetryPause is the pause between two attempts to store the instance
	// record.
	registerRetryPause = 300 * time.Millisecond
	// replicaProbeInterval is the time between two probes of replicas by an
	// instance that is none.
	replicaProbeInterval = time.Second
	// failedProbeInterval is the same while any replica has failed its last call.
	failedProbeInterval = 200 * time.Millisecond
	// silentProbes is the number of probes in a row without an answer after which
	// a replica counts as silent. A restart of its process takes about a second.
	silentProbes = 3
)

// roleState is the state by which an instance decides whether it becomes a
// replica.
type roleState struct {
	loaded       bool           // the directory has been read to its end
	missingSince time.Time      // since when its failure domain lacks replicas, zero if it doesn't
	resume       bool           // this instance's last incarnation was a replica
	failedProbes map[string]int // probes in a row without an answer, by replica
	// unreadySince is when a replica first answered that it is not ready, by name
	// of those that did so at their last probe.
	unreadySince map[string]time.Time
	probing      bool
	nextProbeAt  time.Time
	turn         int // selects the replica to probe
}

// applyDirectory applies what one read of the directory returned.
func (c *Core) applyDirectory(now time.Time, b ledger.Batch) {
	if b.Err != nil {
		if !c.role.loaded {
			c.settings.Logger.Warn().Err(b.Err).Msg("directory: can't be read")
		}
		return
	}
	for _, r := range b.Records {
		prefix, name := splitKey(r.Key)
		if prefix != keyInstance {
			continue
		}
		in, err := decodeInstance(r.Value)
		if err != nil {
			c.settings.Logger.Error().Err(err).Str("key", r.Key).Msg("directory: skipping a record that describes no instance")
			continue
		}
		if name == c.settings.Instance && in.Incarnation != c.settings.Incarnation && !c.role.loaded {
			c.role.resume = in.Replica
		}
		if c.members[name].Incarnation != in.Incarnation {
			c.role.notePresence(name)
			c.replicas.forget(in.Addr)
		}
		c.members[name] = in
	}
	// A load is complete if nothing was appended while its pages were read.
	c.role.loaded = c.role.loaded || b.CaughtUp || b.Reset && b.NextOffset >= b.CompleteOffset
	if len(b.Records) == 0 {
		return
	}
	peers := maps.Clone(c.members)
	c.peers.Store(&peers)
	if c.engine != nil {
		c.setPlacementClients()
	}
}

// decodeInstance decodes and checks an instance's record.
func decodeInstance(value []byte) (instanceRecord, error) {
	var in instanceRecord
	if err := json.Unmarshal(value, &in); err != nil {
		return in, errors.Wrap(err, "decode instance record")
	}
	if in.Addr == "" || in.Incarnation == "" {
		return in, errors.Errorf("instance record has address %q and incarnation %q; want both", in.Addr, in.Incarnation)
	}
	return in, nil
}

// stepRole makes this instance a replica once its failure domain lacks one and
// this instance is the best candidate.
func (c *Core) stepRole(now time.Time) {
	r := &c.role
	if c.answering.Load() || !r.loaded || c.election.leaving {
		return
	}
	if _, registered := c.members[c.settings.Instance]; !registered {
		return
	}
	c.stepReplicaProbes(now)
	if c.replica.Load() {
		return // other replicas serve its callers while it loads the ledger
	}
	if !c.readable.Load() {
		r.missingSince = time.Time{} // it could not read the ledger either
		return
	}
	missing, rank := roles.Need(c.settings.Instance, c.knownInstances(now))
	switch {
	case missing == 0:
		r.missingSince, r.resume = time.Time{}, false
		return
	case r.resume:
		c.becomeReplica("its last process was one")
		return
	case r.missingSince.IsZero():
		r.missingSince = now
	}
	if roles.Due(missing, rank, now.Sub(r.missingSince)) {
		c.becomeReplica("its failure domain lacks one")
	}
}

// knownInstances returns the registered instances, with this instance's view of
// them.
func (c *Core) knownInstances(now time.Time) []roles.Instance {
	all := make([]roles.Instance, 0, len(c.members))
	for name, m := range c.members {
		in := roles.Instance{
			Name: name, Domain: m.Domain, Cores: m.Cores, LinkMbps: m.LinkMbps, Replica: m.Replica,
			Silent: c.role.failedProbes[name] >= silentProbes,
		}
		if since, ok := c.role.unreadySince[name]; ok {
			in.Unready = now.Sub(since)
		}
		all = append(all, in)
	}
	return all
}

// noteProbe records the result of a probe of a replica.
func (r *roleState) noteProbe(now time.Time, name string, ready bool, err error) {
	switch {
	case err != nil:
		r.failedProbes[name]++
	case ready:
		r.notePresence(name)
	default:
		delete(r.failedProbes, name)
		if _, ok := r.unreadySince[name]; !ok {
			r.unreadySince[name] = now
		}
	}
}

// notePresence forgets the failed probes of an instance that is ready, or has
// registered a new process.
func (r *roleState) notePresence(name string) {
	delete(r.failedProbes, name)
	delete(r.unreadySince, name)
}

// becomeReplica makes this instance read the ledger, and registers it as a
// replica.
func (c *Core) becomeReplica(why string) {
	c.settings.Logger.Info().Str("why", why).Msg("core: becomes a replica")
	c.replica.Store(true)
	c.settings.Meter.Gauge("replica", 1)
	c.parts.Go(func() { c.reader.Run(c.ctx) })
	select {
	case c.registering <- struct{}{}:
	default:
	}
}

// stepReplicaProbes probes replicas, one at a time, so that silent ones are
// replaced and those that have recovered are called again.
func (c *Core) stepReplicaProbes(now time.Time) {
	r := &c.role
	if r.probing || now.Before(r.nextProbeAt) {
		return
	}
	r.turn++
	name, recovering := c.nextReplicaProbe(r.turn)
	r.nextProbeAt = now.Add(replicaProbeInterval)
	if recovering {
		r.nextProbeAt = now.Add(failedProbeInterval)
	}
	if name == "" {
		return
	}
	addr := c.members[name].Addr
	r.probing = true
	c.parts.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
		defer cancel()
		ready, err := c.settings.Peers.Ready(ctx, addr)
		c.replicas.note(addr, ready && err == nil, c.settings.Now())
		c.post(func(now time.Time) {
			r.probing = false
			r.noteProbe(now, name, ready, err)
		})
	})
}

// nextReplicaProbe returns the replica to probe in the given turn, or "" if
// there is none, and whether any replica has failed its last call. The replicas
// of this failure domain are probed in turn. Every second turn goes to others
// that have failed their last call or, if no replica of this domain answers, to
// all others.
func (c *Core) nextReplicaProbe(turn int) (name string, failed bool) {
	var local, remote, failing []string
	served := false // by a replica of this domain
	for _, name := range c.replicaNames() {
		m := c.members[name]
		fails := c.replicas.failing(m.Addr)
		failed = failed || fails
		switch {
		case m.Domain == c.settings.Domain:
			local = append(local, name)
			served = served || !fails
		case fails:
			failing = append(failing, name)
			remote = append(remote, name)
		default:
			remote = append(remote, name)
		}
	}
	others := failing
	if !served {
		others = remote
	}
	switch {
	case len(local) == 0 && len(others) == 0:
		return "", false
	case len(others) == 0:
		return local[turn%len(local)], failed
	case len(local) == 0 || turn%2 == 1:
		return others[turn/2%len(others)], failed
	}
	return local[turn/2%len(local)], failed
}

// register stores the record by which peers find this instance, at the start
// and whenever it has changed. It retries until it is stored.
func (c *Core) register(ctx context.Context) {
	producer := ledger.Producer{Name: "directory/" + c.settings.Instance + "/" + c.settings.Incarnation, Epoch: 1}
	w := ledger.NewWriter(c.settings.Directory, producer, 0, c.settings.Now)
	for ctx.Err() == nil {
		r, err := encodeRecord(keyInstance+c.settings.Instance, instanceRecord{
			Addr: c.settings.Addr, Domain: c.settings.Domain, Incarnation: c.settings.Incarnation, Machine: c.settings.Machine, Replica: c.replica.Load(),
		})
		if err != nil {
			c.settings.Logger.Error().Err(err).Msg("core: instance record can't be encoded")
			return
		}
		if _, err = w.Append(ctx, []ledger.Record{r}); err == nil {
			select {
			case <-c.registering:
			case <-ctx.Done():
			}
			continue
		}
		c.settings.Logger.Warn().Err(err).Msg("core: instance record not stored; retrying")
		select {
		case <-time.After(registerRetryPause):
		case <-ctx.Done():
		}
	}
}
