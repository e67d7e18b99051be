package leader

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/state/errs"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// readBackWait is how long a record is awaited before it is appended again.
const readBackWait = time.Second

// ErrExists says that another job has the name.
var ErrExists = errors.New("a job of this name exists and is not the same")

// ErrNoJob says that the domain has no such job.
var ErrNoJob = errors.New("no such job")

// Submit brings a job to the log and returns once it counts there. An error
// other than ErrExists leaves open whether it was accepted; submitting the same
// job again is safe.
func (d *Domain) Submit(ctx context.Context, spec work.JobSpec) error {
	if err := spec.Check("submit job", "caller"); err != nil {
		return err
	}
	known, same := d.compareSpec(spec)
	if known && !same {
		return ErrExists
	}
	if known {
		return nil
	}
	r := work.Record{Submit: &work.Submit{Spec: spec, At: d.cfg.Now().UnixMilli()}}
	err := d.appendUntil(ctx, r, func() bool {
		known, same = d.compareSpec(spec)
		return known
	})
	if err == nil && !same {
		return ErrExists
	}
	return errs.At("submit job "+spec.ID, "log", err)
}

func (d *Domain) compareSpec(spec work.JobSpec) (known, same bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.state.Known(spec.ID) {
		return false, false
	}
	j := d.state.Jobs[spec.ID]
	return true, j == nil || j.Spec == spec
}

// Cancel ends a job. It returns once the cancellation counts in the log.
func (d *Domain) Cancel(ctx context.Context, id, by string) error {
	j, ok := d.Job(id)
	if !ok {
		return ErrNoJob
	}
	if j.Final != "" || j.Cancelled {
		return nil
	}
	r := work.Record{Cancel: &work.Cancel{Job: id, By: by, At: d.cfg.Now().UnixMilli()}}
	err := d.appendUntil(ctx, r, func() bool {
		j, ok := d.Job(id)
		return !ok || j.Cancelled || j.Final != ""
	})
	return errs.At("cancel job "+id, "log", err)
}

// Bury takes an operator's word that a member's process has ended.
func (d *Domain) Bury(ctx context.Context, id, by string) error {
	r := work.Record{Bury: &work.Bury{Member: id, By: by, At: d.cfg.Now().UnixMilli()}}
	err := d.appendUntil(ctx, r, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		m, ok := d.state.Members[id]
		return !ok || m.Dead
	})
	return errs.At("bury member "+id, "log", err)
}

// Members gives the domain's members by id.
func (d *Domain) Members() map[string]work.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]work.Member, len(d.state.Members))
	for id, m := range d.state.Members {
		out[id] = m
	}
	return out
}

// Leave gives up the leadership and all minions, for a planned stop. The
// instance must not dispatch any more when it calls this.
func (d *Domain) Leave(ctx context.Context) error {
	d.mu.Lock()
	d.leaving = true
	d.endTerm("planned stop")
	d.mu.Unlock()
	r := work.Record{Free: &work.Release{Member: d.cfg.Member}}
	err := d.appendUntil(ctx, r, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		_, ok := d.state.Members[d.cfg.Member]
		return !ok
	})
	return errs.At("leave domain", "log", err)
}

// appendUntil appends the record, and again at times, until ok holds.
func (d *Domain) appendUntil(ctx context.Context, r work.Record, ok func() bool) error {
	content, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	for {
		appendErr := d.stream.Append(ctx, content)
		c, cancel := context.WithTimeout(ctx, readBackWait)
		err := d.stream.WaitFor(c, ok)
		cancel()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "not read back (last append: %v)", appendErr)
		}
	}
}
