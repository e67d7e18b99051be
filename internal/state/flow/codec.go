package flow

import (
	"encoding/binary"

	"github.com/go-faster/errors"
)

// codecVersion begins each stored progress record.
const codecVersion = 1

// errShort says that a progress record ends too early or holds a number out of
// its range.
var errShort = errors.New("progress record is cut short or out of range")

// EncodeProgress appends the stored form of p to b. Strings that recur, such as
// the names of workers, are stored once.
func EncodeProgress(b []byte, p *Progress) []byte {
	e := encoder{b: b, seen: map[string]int{}}
	e.num(codecVersion)
	e.num(int64(p.State))
	e.num(p.EndedMs)
	e.num(int64(p.NextRound))
	e.num(int64(len(p.Rounds)))
	for _, r := range p.Rounds {
		e.num(int64(r.Number))
		e.num(int64(len(r.Steps)))
		for _, tasks := range r.Steps {
			e.num(int64(len(tasks)))
			for i := range tasks {
				e.task(&tasks[i])
			}
		}
	}
	return e.b
}

type encoder struct {
	b    []byte
	seen map[string]int
}

func (e *encoder) num(n int64) { e.b = binary.AppendVarint(e.b, n) }

func (e *encoder) text(s string) {
	if i, ok := e.seen[s]; ok {
		e.num(int64(-i - 1))
		return
	}
	e.seen[s] = len(e.seen)
	e.num(int64(len(s)))
	e.b = append(e.b, s...)
}

func (e *encoder) task(t *Task) {
	e.num(int64(t.Phase))
	e.num(int64(t.Run))
	e.num(int64(t.Fails))
	e.num(int64(t.FailedRun))
	e.text(t.Saved)
	if t.Phase == Placed {
		e.text(t.Worker)
		e.num(t.Boot)
	}
}

// DecodeProgress reads what EncodeProgress wrote.
func DecodeProgress(b []byte) (Progress, error) {
	d := decoder{b: b}
	if v := d.num(); v != codecVersion {
		return Progress{}, errors.Errorf("progress record has version %d, not %d", v, codecVersion)
	}
	p := Progress{State: State(d.count(int64(Canceled))), EndedMs: d.num(), NextRound: int(d.count(1 << 40))}
	for n := d.count(int64(len(b))); n > 0 && d.err == nil; n-- {
		p.Rounds = append(p.Rounds, d.round())
	}
	return p, d.err
}

type decoder struct {
	b    []byte
	seen []string
	err  error
}

func (d *decoder) num() int64 {
	n, used := binary.Varint(d.b)
	if used <= 0 {
		d.err = errShort
		return 0
	}
	d.b = d.b[used:]
	return n
}

// count reads a number from 0 to limit.
func (d *decoder) count(limit int64) int64 {
	n := d.num()
	if n < 0 || n > limit {
		d.err = errShort
		return 0
	}
	return n
}

func (d *decoder) text() string {
	n := d.num()
	switch {
	case d.err != nil:
		return ""
	case n < 0:
		if -n > int64(len(d.seen)) {
			d.err = errShort
			return ""
		}
		return d.seen[-n-1]
	case n > int64(len(d.b)):
		d.err = errShort
		return ""
	}
	s := string(d.b[:n])
	d.b = d.b[n:]
	d.seen = append(d.seen, s)
	return s
}

func (d *decoder) round() *Round {
	r := &Round{Number: int(d.count(1 << 40))}
	for n := d.count(MaxSteps); n > 0 && d.err == nil; n-- {
		tasks := make([]Task, d.count(min(MaxTasks, int64(len(d.b)))))
		for i := range tasks {
			d.task(&tasks[i])
			if tasks[i].Phase != Done {
				r.Open++
			}
		}
		r.Steps = append(r.Steps, tasks)
	}
	return r
}

func (d *decoder) task(t *Task) {
	t.Phase = Phase(d.count(int64(Done)))
	t.Run = int(d.count(1 << 40))
	t.Fails = int(d.count(1 << 40))
	t.FailedRun = int(d.count(1 << 40))
	t.Saved = d.text()
	if t.Phase == Placed {
		t.Worker = d.text()
		t.Boot = d.num()
	}
}
