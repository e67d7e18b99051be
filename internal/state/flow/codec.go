package flow

import (
	"encoding/binary"

	"github.com/go-faster/errors"
)

// codecVersion is the first number of each stored progress record.
const codecVersion = 1

// Sections that may follow the rounds, in this order. Each begins with its number
// and a count of tasks. For each task follow the indexes of its round, of its step
// and within the step, and the section's fields.
const (
	sectionCrashes     = 1 // of tasks with a crash score: the score
	sectionCrashedRuns = 2 // of tasks with a counted crash: the newest such run, and what its crash added
	sectionAddresses   = 3 // of placed tasks: the address of the worker
)

// Bounds of the numbers that a record may hold.
const (
	maxCrashScore = 1 << 20 // of a task
	maxRun        = 1 << 40 // of a run, or of a count of runs
)

// errMalformed is returned for a progress record that is truncated or holds a
// number out of its range.
var errMalformed = errors.New("progress record is truncated or holds a number out of range")

// EncodeProgress appends the stored form of p to b and returns the extended
// slice. Numbers are varints. Strings that recur, such as the names of workers,
// are stored once; later occurrences refer to the first one by a negative number.
func EncodeProgress(b []byte, p *Progress) []byte {
	e := encoder{b: b, seen: map[string]int{}}
	e.appendVarint(codecVersion)
	e.appendVarint(int64(p.State))
	e.appendVarint(p.EndedMs)
	e.appendVarint(int64(p.NextRound))
	e.appendVarint(int64(len(p.Rounds)))
	for _, r := range p.Rounds {
		e.appendVarint(int64(r.Number))
		e.appendVarint(int64(len(r.Steps)))
		for _, tasks := range r.Steps {
			e.appendVarint(int64(len(tasks)))
			for i := range tasks {
				e.appendTask(&tasks[i])
			}
		}
	}
	e.appendSection(p, sectionCrashes, func(t *Task) bool { return t.CrashScore > 0 }, func(t *Task) {
		e.appendVarint(int64(t.CrashScore))
	})
	e.appendSection(p, sectionCrashedRuns, func(t *Task) bool { return t.LastCrashedRun > 0 }, func(t *Task) {
		e.appendVarint(int64(t.LastCrashedRun))
		e.appendVarint(int64(t.LastCrashScore))
	})
	e.appendSection(p, sectionAddresses, func(t *Task) bool { return t.Phase == Placed && t.WorkerAddr != "" }, func(t *Task) {
		e.appendString(t.WorkerAddr)
	})
	return e.b
}

type encoder struct {
	b    []byte
	seen map[string]int // number of each string stored so far, from 0
}

func (e *encoder) appendVarint(n int64) { e.b = binary.AppendVarint(e.b, n) }

func (e *encoder) appendString(s string) {
	if i, ok := e.seen[s]; ok {
		e.appendVarint(int64(-i - 1))
		return
	}
	e.seen[s] = len(e.seen)
	e.appendVarint(int64(len(s)))
	e.b = append(e.b, s...)
}

// appendSection appends a section with the tasks that have it. It appends nothing
// if there is no such task.
func (e *encoder) appendSection(p *Progress, section int64, has func(t *Task) bool, appendFields func(t *Task)) {
	count := int64(0)
	p.eachTask(func(_, _, _ int, t *Task) {
		if has(t) {
			count++
		}
	})
	if count == 0 {
		return
	}
	e.appendVarint(section)
	e.appendVarint(count)
	p.eachTask(func(round, step, i int, t *Task) {
		if !has(t) {
			return
		}
		for _, index := range []int{round, step, i} {
			e.appendVarint(int64(index))
		}
		appendFields(t)
	})
}

// eachTask calls f for each task with the indexes of its round, of its step and
// within the step.
func (p *Progress) eachTask(f func(round, step, i int, t *Task)) {
	for round, r := range p.Rounds {
		for step, tasks := range r.Steps {
			for i := range tasks {
				f(round, step, i, &tasks[i])
			}
		}
	}
}

func (e *encoder) appendTask(t *Task) {
	e.appendVarint(int64(t.Phase))
	e.appendVarint(int64(t.Run))
	e.appendVarint(int64(t.FailedRuns))
	e.appendVarint(int64(t.LastFailedRun))
	e.appendString(t.Saved)
	if t.Phase == Placed {
		e.appendString(t.Worker)
		e.appendVarint(t.Incarnation)
	}
}

// DecodeProgress decodes the stored form that EncodeProgress returns. It returns
// an error if b is truncated, has another version or holds a number out of range.
// Sections that are not known are ignored.
func DecodeProgress(b []byte) (Progress, error) {
	d := decoder{b: b}
	if v := d.readVarint(); v != codecVersion {
		return Progress{}, errors.Errorf("progress record has version %d, want %d", v, codecVersion)
	}
	p := Progress{State: State(d.readBounded(int64(Canceled))), EndedMs: d.readVarint(), NextRound: int(d.readBounded(1 << 40))}
	for n := d.readBounded(int64(len(b))); n > 0 && d.err == nil; n-- {
		p.Rounds = append(p.Rounds, d.readRound())
	}
	for d.err == nil && len(d.b) > 0 {
		switch d.readVarint() {
		case sectionCrashes:
			d.readSection(&p, func(t *Task) { t.CrashScore = int(d.readBounded(maxCrashScore)) })
		case sectionCrashedRuns:
			d.readSection(&p, func(t *Task) {
				t.LastCrashedRun = int(d.readBounded(maxRun))
				t.LastCrashScore = int(d.readBounded(maxCrashScore))
			})
		case sectionAddresses:
			d.readSection(&p, func(t *Task) {
				if addr := d.readString(); t.Phase == Placed {
					t.WorkerAddr = addr
				}
			})
		default:
			// It is from a later version, and its length is not known.
			return p, d.err
		}
	}
	return p, d.err
}

type decoder struct {
	b    []byte
	seen []string // strings read so far
	err  error    // set when a field is malformed; values read afterwards are meaningless
}

func (d *decoder) readVarint() int64 {
	n, used := binary.Varint(d.b)
	if used <= 0 {
		d.err = errMalformed
		return 0
	}
	d.b = d.b[used:]
	return n
}

// readBounded reads a number in 0..limit.
func (d *decoder) readBounded(limit int64) int64 {
	n := d.readVarint()
	if n < 0 || n > limit {
		d.err = errMalformed
		return 0
	}
	return n
}

func (d *decoder) readString() string {
	n := d.readVarint()
	switch {
	case d.err != nil:
		return ""
	case n < 0:
		if -n > int64(len(d.seen)) {
			d.err = errMalformed
			return ""
		}
		return d.seen[-n-1]
	case n > int64(len(d.b)):
		d.err = errMalformed
		return ""
	}
	s := string(d.b[:n])
	d.b = d.b[n:]
	d.seen = append(d.seen, s)
	return s
}

func (d *decoder) readRound() *Round {
	r := &Round{Number: int(d.readBounded(1 << 40))}
	for n := d.readBounded(MaxSteps); n > 0 && d.err == nil; n-- {
		tasks := make([]Task, d.readBounded(min(MaxTasks, int64(len(d.b)))))
		for i := range tasks {
			d.readTask(&tasks[i])
			if tasks[i].Phase != Done {
				r.Unfinished++
			}
		}
		r.Steps = append(r.Steps, tasks)
	}
	return r
}

func (d *decoder) readTask(t *Task) {
	t.Phase = Phase(d.readBounded(int64(Done)))
	t.Run = int(d.readBounded(maxRun))
	t.FailedRuns = int(d.readBounded(maxRun))
	t.LastFailedRun = int(d.readBounded(maxRun))
	t.Saved = d.readString()
	if t.Phase == Placed {
		t.Worker = d.readString()
		t.Incarnation = d.readVarint()
	}
}

// readSection reads the count of a section and its tasks. read reads the fields of
// one of them.
func (d *decoder) readSection(p *Progress, read func(t *Task)) {
	for n := d.readBounded(int64(len(d.b))); n > 0 && d.err == nil; n-- {
		round := d.readBounded(int64(len(p.Rounds)) - 1)
		if d.err != nil {
			return
		}
		steps := p.Rounds[round].Steps
		step := d.readBounded(int64(len(steps)) - 1)
		if d.err != nil {
			return
		}
		i := d.readBounded(int64(len(steps[step])) - 1)
		if d.err != nil {
			return
		}
		read(&steps[step][i])
	}
}
