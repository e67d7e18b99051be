package main

import (
	"fmt"
	"hash/fnv"
	"time"
)

func init() { cases["ends"] = manyEnds }

// Sizes of the case. The outage is the longest of a site's days (5.3 s) or less.
const (
	endsJobs       = 2
	endsTasks      = 600
	endsOutage     = 4500 * time.Millisecond
	endsShortest   = 2200 * time.Millisecond
	endsSpread     = 2 * time.Second
	endsFinishWait = 30 * time.Second
)

// spread returns a duration from 0 to limit that depends on the text.
func spread(text string, limit time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text)) // never fails
	return time.Duration(h.Sum32()) * limit / (1 << 32)
}

// manyEnds lets the tasks of two wide jobs end while the store is down. No task
// may start again after its end.
func manyEnds(r *rig) int {
	r.configure(4, 3)
	work := func(task string) taskWork { return taskWork{duration: endsShortest + spread(task, endsSpread)} }
	for i := range 2 {
		if _, err := r.newMinion(fmt.Sprintf("i-%08x", 0x1a2b3c00+i), "vasteras-c", []string{"a", fmt.Sprintf("r%d-1", i+1)}, work); err != nil {
			r.note("can't start a minion: %v", err)
			return exitNotRun
		}
	}
	var instances []*instance
	for i := range 3 {
		in, err := r.newInstance(fmt.Sprintf("edge-vasteras-c-%d", i+1), "vasteras-c")
		if err != nil {
			r.note("can't set up an instance: %v", err)
			return exitNotRun
		}
		instances = append(instances, in)
	}
	if !r.startAll(20*time.Second, instances...) {
		return exitNotRun
	}
	for i := range endsJobs {
		job := map[string]any{"spec": fmt.Sprintf("nightly thumbnails, part %d", i), "steps": []map[string]any{{"count": endsTasks, "cpu": 50, "mem_mb": 64, "estimate_ms": 3000}}}
		if !r.submit(instances, fmt.Sprintf("5c0e7a21d94b36f%d", i), job) {
			return exitNotRun
		}
	}
	total := endsJobs * endsTasks
	if !await(10*time.Second, func() bool { return r.count("start") >= total }) {
		r.note("only %d of %d tasks have started", r.count("start"), total)
		return exitNotRun
	}
	for _, m := range r.minions {
		m.mu.Lock()
		r.note("minion %s runs %d tasks", m.id, len(m.runs))
		m.mu.Unlock()
	}
	if r.trouble {
		r.note("the store is down (silent) for %v", endsOutage)
		r.store.setDown(true)
		time.Sleep(endsOutage)
		r.store.setDown(false)
		r.note("the store is up again")
	}
	complete := await(endsFinishWait, func() bool {
		for i := range endsJobs {
			if r.state(instances, fmt.Sprintf("5c0e7a21d94b36f%d", i)) != "complete" {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * time.Second)
	r.note("both jobs complete: %v", complete)
	for _, a := range r.journal.all() {
		r.record("minion %s, boot %d, at %.3f: %s %s run %d %s, end %d", a.minion, a.boot, a.at.Sub(r.began).Seconds(), a.what, a.task, a.run, a.how, a.n)
	}
	return r.checkTwice()
}

func (r *rig) count(what string) int {
	n := 0
	for _, a := range r.journal.all() {
		if a.what == what {
			n++
		}
	}
	return n
}

// checkTwice checks the rule TWICE without speculative tasks: two runs of a task
// at the same time on minions that are up, or a start after a run has ended done
// if that end was taken note of at any time and no lease of its minion lapsed
// between the two.
func (r *rig) checkTwice() int {
	type bootKey struct {
		minion string
		boot   int64
	}
	type doneEnd struct {
		at    time.Time
		key   bootKey
		run   int
		n     int64
		lapse bool
		noted bool
	}
	list := r.journal.all()
	open := map[bootKey]map[int64]*doneEnd{} // ends that are not taken note of yet
	done := map[string][]*doneEnd{}
	counts := map[string]int{}
	for _, a := range list {
		key := bootKey{a.minion, a.boot}
		counts[a.what+" "+a.how]++
		switch a.what {
		case "end":
			if a.how != "done" {
				continue
			}
			e := &doneEnd{at: a.at, key: key, run: a.run, n: a.n}
			done[a.task] = append(done[a.task], e)
			if open[key] == nil {
				open[key] = map[int64]*doneEnd{}
			}
			open[key][a.n] = e
		case "lapse":
			for _, e := range open[key] {
				e.lapse = true
			}
		case "noted":
			for n, e := range open[key] {
				if n <= a.n {
					e.noted = true
					delete(open[key], n)
				}
			}
		}
	}
	for what, n := range counts {
		r.note("minions: %d x %s", n, what)
	}
	broken := 0
	running := map[string]map[bootKey]int{}
	for _, a := range list {
		key := bootKey{a.minion, a.boot}
		switch a.what {
		case "start":
			for other, run := range running[a.task] {
				broken++
				r.note("TWICE: %s run %d starts on %s while run %d is on %s", a.task, a.run, a.minion, run, other.minion)
			}
			if running[a.task] == nil {
				running[a.task] = map[bootKey]int{}
			}
			running[a.task][key] = a.run
			for _, e := range done[a.task] {
				if e.noted && !e.lapse && e.at.Before(a.at) {
					broken++
					if broken <= 20 {
						r.note("TWICE: %s run %d starts on %s at %.3f, though run %d ended done on %s at %.3f as end %d, which was taken note of", a.task, a.run, a.minion,
							a.at.Sub(r.began).Seconds(), e.run, e.key.minion, e.at.Sub(r.began).Seconds(), e.n)
					}
				}
			}
		case "end":
			delete(running[a.task], key)
		case "crash":
			for _, m := range running {
				delete(m, key)
			}
		}
	}
	r.note("TWICE is broken by %d starts", broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
