package leader

import (
	"context"
	"encoding/json"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/state/lease"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Pace of claims and joins.
const (
	rejoinEvery   = time.Second
	appendTimeout = 2 * time.Second
)

// claim is a claim that was sent and whose fate may still be open.
type claim struct {
	term uint64
	sent time.Time
}

// join asks to be a member of the domain, and again when the record is not read.
func (d *Domain) join(now time.Time) {
	if d.leaving || !d.stream.Ready() || d.logDown(now) || now.Sub(d.joining) < rejoinEvery {
		return
	}
	if _, ok := d.state.Members[d.cfg.Member]; ok {
		return
	}
	d.joining = now
	m := work.Member{Member: d.cfg.Member, Instance: d.cfg.Instance, Addr: d.cfg.Addr, At: now.UnixMilli()}
	d.send(work.Record{Join: &m})
}

// maybeClaim sends a claim when the present leader's right has certainly ended.
func (d *Domain) maybeClaim(now time.Time) {
	m, ok := d.state.Members[d.cfg.Member]
	if !ok || m.Dead || d.leaving || d.logDown(now) || now.Before(d.promised) {
		return
	}
	if d.claim.term == d.state.Term+1 && now.Sub(d.claim.sent) < appendTimeout {
		return
	}
	w := lease.Watch{Heard: d.heard, Promised: d.promised, Joined: d.joined, Acked: m.Acked}
	if !w.MayClaim(d.stream.Tail(), d.cfg.Terms, d.state.Company()) {
		return
	}
	d.claim = claim{term: d.state.Term + 1, sent: now}
	c := work.Claim{Term: d.claim.term, Member: d.cfg.Member, Instance: d.cfg.Instance, Seen: d.state.LastLeader}
	d.send(work.Record{Claim: &c})
}

// claimed takes office when the claim that counted is this member's.
func (d *Domain) claimed(c work.Claim, now time.Time) {
	d.cfg.Logger.Info().Str("leader", c.Instance).Uint64("term", c.Term).Msg("leader: new term")
	if c.Member != d.cfg.Member || c.Term != d.claim.term || d.leaving {
		return
	}
	d.beginTerm(d.claim.sent, now)
}

// send appends a record without waiting for it; what became of it is read back.
func (d *Domain) send(r work.Record) {
	content, err := json.Marshal(r)
	if err != nil {
		d.cfg.Logger.Error().Err(err).Msg("leader: a record can't be encoded")
		return
	}
	d.sendContent(content)
}

func (d *Domain) sendContent(content []byte) {
	ctx := d.ctx
	if ctx == nil || ctx.Err() != nil {
		return
	}
	d.wg.Go(func() {
		c, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		// An error leaves open whether the record counts; the reader tells.
		_ = d.stream.Append(c, content)
	})
}

// Report adds the domain's part to this instance's heartbeat.
func (d *Domain) Report(r *member.Report, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.Leader = d.state.LeaderName
	r.Term = d.state.Term
	r.LogDown = d.logDown(now)
	r.TailAge = now.Sub(d.stream.Tail())
	r.AskHold = d.leadership != nil && r.LogDown
}

// Answer adds promises to the reply to a heartbeat.
func (d *Domain) Answer(from member.Report, reply *member.Report, now time.Time) {
	if from.Domain != d.cfg.Domain {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if from.AskHold && d.mayPromise(from.Member, now) {
		reply.Hold = d.cfg.Terms.Hold
		d.promised = now.Add(d.cfg.Terms.Hold)
	}
	if d.leadership == nil || !d.logDown(now) || !d.leadership.right.Holds(now, d.cfg.Terms) {
		return
	}
	reply.Keep = min(d.cfg.Terms.Hold, d.leadership.right.End(d.cfg.Terms).Sub(now))
	d.leadership.keptUntil[from.Member] = now.Add(reply.Keep)
}

// mayPromise reports whether this member may promise the leader not to claim.
// While a claim of its own may still reach the log it may not.
func (d *Domain) mayPromise(asker string, now time.Time) bool {
	if asker != d.state.Leader || d.leadership != nil || !d.logDown(now) {
		return false
	}
	open := d.claim.term == d.state.Term+1 && !d.stream.Tail().After(d.claim.sent.Add(appendTimeout))
	return !open
}

// Answered takes the promises in the reply to a heartbeat sent at the time.
func (d *Domain) Answered(r member.Report, sent time.Time) {
	if r.Domain != d.cfg.Domain {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Keep > 0 && r.Member == d.state.Leader && sent.Add(r.Keep).After(d.minionsKeptUntil) {
		d.minionsKeptUntil = sent.Add(r.Keep)
	}
	if r.Hold <= 0 || d.leadership == nil {
		return
	}
	d.leadership.promises[r.Member] = sent.Add(r.Hold)
	if until, ok := d.unanimous(); ok {
		d.leadership.right.Promise(until)
	}
}

// unanimous gives the earliest end of the promises of all members whose claim
// could count; false when one is missing or there is none to give any.
func (d *Domain) unanimous() (time.Time, bool) {
	var least time.Time
	found := false
	for id, m := range d.state.Members {
		if id == d.cfg.Member || !m.Acked || m.Dead {
			continue
		}
		until, ok := d.leadership.promises[id]
		if !ok {
			return time.Time{}, false
		}
		if !found || until.Before(least) {
			least, found = until, true
		}
	}
	return least, found
}
