package member

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/parts"
)

// Times and limits of membership.
const (
	listInterval      = 500 * time.Millisecond  // between two reads of the platform's list
	heartbeatInterval = 300 * time.Millisecond  // between two rounds of heartbeats
	heartbeatTimeout  = 600 * time.Millisecond  // for the reply to a heartbeat
	otherDomainsEvery = 4                       // one in so many rounds includes instances of other domains
	otherDomainsCount = 3                       // instances of other domains in such a round
	SuspectAfter      = 1500 * time.Millisecond // a peer is suspected this long after the last contact
	staleAfter        = time.Minute             // older reports are removed when there are maxPeers
	listTimeout       = 2 * time.Second         // for a read of the platform's list
	maxPeers          = 1024                    // reports, above which stale ones are removed
)

// Config configures a View.
type Config struct {
	Instance      string
	Domain        string
	List          func(ctx context.Context) ([]Instance, error)                    // reads the platform's list of instances
	SendHeartbeat func(ctx context.Context, addr string, r Report) (Report, error) // sends a heartbeat and returns the reply
	OwnReport     func(now time.Time) Report                                       // returns this instance's report
	// OnReply is called with the reply to each heartbeat and the time when the
	// heartbeat was sent. It may be nil.
	OnReply func(r Report, sent time.Time)
	Now     func() time.Time
	Logger  zerolog.Logger
}

// View is this instance's view of the membership. It is safe for concurrent
// use.
type View struct {
	cfg  Config
	done chan struct{}

	mu         sync.RWMutex        // guards the fields below
	instances  map[string]Instance // by name, as last listed
	peers      map[string]Peer     // by instance name
	listDown   bool                // the last read of the list failed
	queryCount int                 // selects the peer to query next
}

// New returns a View without instances and peers. Run must be called to start it.
func New(cfg Config) *View {
	return &View{cfg: cfg, done: make(chan struct{}), instances: map[string]Instance{}, peers: map[string]Peer{}}
}

// Done returns a channel that is closed when Run has returned.
func (v *View) Done() <-chan struct{} { return v.done }

// Run reads the platform's list and sends heartbeats until ctx ends. It must be
// called once.
func (v *View) Run(ctx context.Context) {
	defer close(v.done)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	wg := parts.New()
	wg.Go(func() { v.listLoop(ctx) })
	wg.Go(func() { v.heartbeatLoop(ctx) })
	wg.Wait()
}

func (v *View) listLoop(ctx context.Context) {
	t := time.NewTicker(listInterval)
	defer t.Stop()
	for {
		v.refreshList(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// refreshList reads the platform's list. If that fails the previous list
// remains. It logs only when reads start or stop failing.
func (v *View) refreshList(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := v.cfg.List(callCtx)
	if ctx.Err() != nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if (err != nil) != v.listDown {
		v.listDown = err != nil
		v.cfg.Logger.Warn().Err(err).Bool("down", v.listDown).Msg("member: reachability of the platform's instance list changed")
	}
	if err != nil {
		return
	}
	v.instances = make(map[string]Instance, len(list))
	for _, inst := range list {
		v.instances[inst.Name] = inst
	}
}

// heartbeatLoop sends heartbeats to all entry instances of this domain in each
// round, and to some of other domains in one of otherDomainsEvery rounds.
func (v *View) heartbeatLoop(ctx context.Context) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for round := 0; ; round++ {
		targets := v.sameDomain()
		if round%otherDomainsEvery == 0 {
			targets = append(targets, v.otherDomains()...)
		}
		wg := parts.New()
		for _, inst := range targets {
			wg.Go(func() { v.sendHeartbeat(ctx, inst) })
		}
		wg.Wait()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (v *View) sendHeartbeat(ctx context.Context, inst Instance) {
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sentAt := v.cfg.Now()
	reply, err := v.cfg.SendHeartbeat(callCtx, inst.Addr, v.cfg.OwnReport(sentAt))
	if err != nil {
		return
	}
	v.recordReport(reply, sentAt)
	if v.cfg.OnReply != nil {
		v.cfg.OnReply(reply, sentAt)
	}
}

// HandleReport records a report that another instance sent unasked or with an
// answer.
func (v *View) HandleReport(r Report) { v.recordReport(r, v.cfg.Now()) }

func (v *View) recordReport(r Report, sentAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.cfg.Now()
	if len(v.peers) >= maxPeers {
		v.removeStale(now)
	}
	v.peers[r.Instance] = Peer{Report: r, LastContact: now, RTT: now.Sub(sentAt)}
}

func (v *View) removeStale(now time.Time) {
	for name, p := range v.peers {
		if now.Sub(p.LastContact) > staleAfter {
			delete(v.peers, name)
		}
	}
}

func (v *View) sameDomain() []Instance {
	return v.entryInstances(func(inst Instance) bool { return inst.Domain == v.cfg.Domain })
}

// otherDomains returns a random sample of the entry instances of other domains.
func (v *View) otherDomains() []Instance {
	sample := v.entryInstances(func(inst Instance) bool { return inst.Domain != v.cfg.Domain })
	rand.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	return sample[:min(otherDomainsCount, len(sample))]
}

// entryInstances returns the other entry instances for which match returns true.
func (v *View) entryInstances(match func(Instance) bool) []Instance {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var out []Instance
	for _, inst := range v.instances {
		if inst.Kind == KindEntry && inst.Name != v.cfg.Instance && match(inst) {
			out = append(out, inst)
		}
	}
	return out
}

// Instances returns the instances of a kind in this domain as last listed,
// sorted by name.
func (v *View) Instances(kind string) []Instance { return v.InstancesOf(kind, v.cfg.Domain) }

// InstancesOf returns the instances of a kind in a domain as last listed,
// sorted by name. An empty domain means all domains.
func (v *View) InstancesOf(kind, domain string) []Instance {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var out []Instance
	for _, inst := range v.instances {
		if inst.Kind == kind && (domain == "" || inst.Domain == domain) {
			out = append(out, inst)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Peers returns the last report of each peer, sorted by instance name.
func (v *View) Peers() []Peer {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := make([]Peer, 0, len(v.peers))
	for _, p := range v.peers {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// Helper returns the best peer to which to forward a request now, or false if
// there is none. The peer must have more free slots than waiting requests, must
// be neither leaving nor suspected, and ok must return true for it. Peers of
// this domain are preferred, then those with more slots left. ok is called under
// the View's lock and must not call the View.
func (v *View) Helper(now time.Time, ok func(p Peer) bool) (Peer, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var best Peer
	found := false
	for _, p := range v.peers {
		if p.Leaving || p.FreeSlots-p.WaitingRequests <= 0 || now.Sub(p.LastContact) > SuspectAfter || !ok(p) {
			continue
		}
		if !found || v.preferred(p, best) {
			best, found = p, true
		}
	}
	return best, found
}

// preferred reports whether p is to be preferred to q. The name breaks ties.
func (v *View) preferred(p, q Peer) bool {
	pSameDomain := p.Domain == v.cfg.Domain
	qSameDomain := q.Domain == v.cfg.Domain
	if pSameDomain != qSameDomain {
		return pSameDomain
	}
	if p.FreeSlots-p.WaitingRequests != q.FreeSlots-q.WaitingRequests {
		return p.FreeSlots-p.WaitingRequests > q.FreeSlots-q.WaitingRequests
	}
	return p.Instance < q.Instance
}

// OfferSlots sends a heartbeat at once to the peer with the most waiting
// requests, so that it can forward some to this instance. Suspected peers are
// skipped. Nothing is sent if no peer has waiting requests.
func (v *View) OfferSlots(ctx context.Context, now time.Time) {
	v.mu.RLock()
	var busiest Peer
	for _, p := range v.peers {
		if p.WaitingRequests > busiest.WaitingRequests && now.Sub(p.LastContact) <= SuspectAfter {
			busiest = p
		}
	}
	v.mu.RUnlock()
	if busiest.WaitingRequests > 0 {
		v.sendHeartbeat(ctx, Instance{Name: busiest.Instance, Addr: busiest.Addr})
	}
}

// QuerySlots sends a heartbeat at once to the next peer in turn. The reply
// reports the peer's free slots. Suspected and leaving peers are skipped.
func (v *View) QuerySlots(ctx context.Context) {
	v.mu.Lock()
	names := make([]string, 0, len(v.peers))
	for name, p := range v.peers {
		if !p.Leaving && v.cfg.Now().Sub(p.LastContact) <= SuspectAfter {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	v.queryCount++
	var p Peer
	if len(names) > 0 {
		p = v.peers[names[v.queryCount%len(names)]]
	}
	v.mu.Unlock()
	if p.Addr != "" {
		v.sendHeartbeat(ctx, Instance{Name: p.Instance, Addr: p.Addr})
	}
}

// RecordForward records that a request is forwarded to the peer, so that
// further requests are not forwarded to the same slot before the peer reports
// again.
func (v *View) RecordForward(instance string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.peers[instance]
	if ok {
		p.FreeSlots--
		v.peers[instance] = p
	}
}

// Suspect makes a peer suspected until its next report.
func (v *View) Suspect(instance string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.peers[instance]
	if ok {
		p.LastContact = time.Time{}
		v.peers[instance] = p
	}
}
