package leader

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/state/errs"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// readBackTimeout is how long to wait for the effect of a record before it is
// appended again.
const readBackTimeout = time.Second

// ErrJobExists is returned by Submit when a job with the same ID but another
// specification exists.
var ErrJobExists = errors.New("a job with this ID and another specification exists")

// ErrJobNotFound is returned by Cancel when the domain has no job with the ID.
var ErrJobNotFound = errors.New("no such job")

// ErrMemberNotFound is returned by MarkMemberDead when the domain has no member
// with the ID.
var ErrMemberNotFound = errors.New("no such member")

// Submit appends a job to the log and returns once it has taken effect. It
// returns ErrJobExists, or the errors of the specification, if the job is not
// accepted. After any other error it is unknown whether the job is accepted;
// submitting it again is safe.
func (d *Domain) Submit(ctx context.Context, spec work.JobSpec) error {
	if err := spec.Check("submit job", "caller"); err != nil {
		return err
	}
	known, same := d.compareSpec(spec)
	if known && !same {
		return ErrJobExists
	}
	if known {
		return nil
	}
	r := work.Record{Submit: &work.Submit{Spec: spec, AtMs: d.cfg.Now().UnixMilli()}}
	err := d.appendUntil(ctx, r, func() bool {
		known, same = d.compareSpec(spec)
		return known
	})
	if err == nil && !same {
		return ErrJobExists
	}
	return errs.At("submit job "+spec.ID, "log", err)
}

// compareSpec reports whether the domain has or had a job with the ID, and
// whether its specification is the same. Of a job that has been forgotten only
// the ID remains; its specification counts as the same.
func (d *Domain) compareSpec(spec work.JobSpec) (known, same bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.state.Known(spec.ID) {
		return false, false
	}
	j := d.state.Jobs[spec.ID]
	return true, j == nil || j.Spec == spec
}

// Cancel cancels a job and returns once the cancellation has taken effect. The
// tasks of the job may still run then. It returns ErrJobNotFound for an unknown
// job and nil for a job that has ended. After any other error it is unknown
// whether the job is cancelled; cancelling it again is safe.
func (d *Domain) Cancel(ctx context.Context, id, by string) error {
	j, ok := d.Job(id)
	if !ok {
		return ErrJobNotFound
	}
	if j.FinalState != "" || j.Cancelled {
		return nil
	}
	r := work.Record{Cancel: &work.Cancel{Job: id, By: by, AtMs: d.cfg.Now().UnixMilli()}}
	err := d.appendUntil(ctx, r, func() bool {
		j, ok := d.Job(id)
		return !ok || j.Cancelled || j.FinalState != ""
	})
	return errs.At("cancel job "+id, "log", err)
}

// MarkMemberDead records that, as an operator has asserted, a member's process
// has ended. It returns once the record has taken effect. It returns
// ErrMemberNotFound for an unknown member and nil for one that is dead already.
func (d *Domain) MarkMemberDead(ctx context.Context, id, by string) error {
	if _, ok := d.Members()[id]; !ok {
		return ErrMemberNotFound
	}
	r := work.Record{MarkDead: &work.MarkDead{Member: id, By: by, AtMs: d.cfg.Now().UnixMilli()}}
	err := d.appendUntil(ctx, r, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		m, ok := d.state.Members[id]
		return !ok || m.Dead
	})
	return errs.At("bury member "+id, "log", err)
}

// Members returns the domain's members by ID.
func (d *Domain) Members() map[string]work.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]work.Member, len(d.state.Members))
	for id, m := range d.state.Members {
		out[id] = m
	}
	return out
}

// Leave gives up the membership, the leadership and all minions for a graceful
// shutdown. It returns once its record has taken effect. The caller must have
// stopped dispatching requests to minions.
func (d *Domain) Leave(ctx context.Context) error {
	d.mu.Lock()
	d.leaving = true
	d.endTerm("planned stop")
	d.mu.Unlock()
	r := work.Record{Release: &work.Release{Member: d.cfg.Member}}
	err := d.appendUntil(ctx, r, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		_, ok := d.state.Members[d.cfg.Member]
		return !ok
	})
	return errs.At("leave domain", "log", err)
}

// appendUntil appends the record, again after each readBackTimeout, until ok
// returns true. It returns an error when ctx ends first.
func (d *Domain) appendUntil(ctx context.Context, r work.Record, ok func() bool) error {
	content, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	for {
		appendErr := d.stream.Append(ctx, content)
		c, cancel := context.WithTimeout(ctx, readBackTimeout)
		err := d.stream.WaitFor(c, ok)
		cancel()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "the log did not show the effect of the record in time (last append: %v)", appendErr)
		}
	}
}
