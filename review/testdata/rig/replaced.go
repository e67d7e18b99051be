package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["replaced"] = restartAfterReplacements }

// Sizes of the case.
const (
	replacedPerZone     = 4
	replacedGenerations = 4                // generations of machines that are replaced by the next one
	recoverAfter        = 12 * time.Second // recover_s of the settings
	recoverWindow       = 5 * time.Second  // of requests that are counted
	requestInterval     = 100 * time.Millisecond
	servedWithin        = 3 * time.Second // from a request to its job's completion
)

var replacedZones = []string{"vasteras-c", "vasteras-n", "eskilstuna"}

// restartAfterReplacements replaces all machines some times, and then kills all
// processes at once, which start again. A quarter of the requests that come later
// than recover_s after that has to be served.
func restartAfterReplacements(r *rig) int {
	r.configure(4, 4)
	work := func(string) taskWork { return taskWork{duration: 200 * time.Millisecond} }
	for i := range 6 {
		zone := replacedZones[i%len(replacedZones)]
		if _, err := r.newMinion(fmt.Sprintf("i-%08x", 0x3c4d5e00+i), zone, []string{"a", fmt.Sprintf("r%d-1", i/6+1)}, work); err != nil {
			r.note("can't start a minion: %v", err)
			return exitNotRun
		}
	}
	var present []*instance
	for generation := range replacedGenerations + 1 {
		if generation > 0 {
			for _, in := range present {
				in.kill()
			}
			r.note("the %d machines of generation %d are gone for good", len(present), generation-1)
		}
		present = nil
		for i := range replacedPerZone * len(replacedZones) {
			zone := replacedZones[i%len(replacedZones)]
			in, err := r.newInstance(fmt.Sprintf("edge-%s-%d", zone, generation*replacedPerZone+i/len(replacedZones)+1), zone)
			if err != nil {
				r.note("can't set up an instance: %v", err)
				return exitNotRun
			}
			present = append(present, in)
		}
		r.note("generation %d comes at new addresses", generation)
		if !r.startAll(60*time.Second, present...) {
			return exitNotRun
		}
		time.Sleep(2 * time.Second) // the last ones become replicas
	}
	before := r.serve(present, 3*time.Second)
	r.note("before: %d of %d requests served", before.served, before.sent)
	if 4*before.served < before.sent {
		return exitNotRun
	}
	if r.trouble {
		for _, in := range present {
			in.kill()
		}
		r.note("all %d processes are killed", len(present))
		time.Sleep(time.Second)
		for _, in := range present {
			if err := in.start(); err != nil {
				r.note("can't start %s: %v", in.name, err)
				return exitNotRun
			}
		}
		r.note("all processes are started again")
	}
	for range int(recoverAfter / time.Second) {
		time.Sleep(time.Second)
		ready := 0
		for _, in := range present {
			if in.ready() {
				ready++
			}
		}
		r.note("%d of %d instances are ready", ready, len(present))
	}
	after := r.serve(present, recoverWindow)
	r.note("later than %v after that, for %v: %d of %d requests served", recoverAfter, recoverWindow, after.served, after.sent)
	if 4*after.served < after.sent {
		await(40*time.Second, func() bool {
			for _, in := range present {
				if in.ready() {
					return true
				}
			}
			return false
		})
		r.note("not part of the check: an instance is ready again")
		return exitBroken
	}
	return exitHeld
}

// served counts requests.
type served struct{ sent, served int }

// serve sends a request each requestInterval, at the instances in turn. A request
// hands in a job of one task of 200 ms; it is served if the job is complete within
// servedWithin. A request that gets no 2xx goes to two more instances.
func (r *rig) serve(instances []*instance, during time.Duration) served {
	var mu sync.Mutex
	var running sync.WaitGroup
	s := served{}
	began := time.Now()
	for i := 0; time.Since(began) < during; i++ {
		id := fmt.Sprintf("%016x", time.Now().UnixNano())
		s.sent++
		running.Go(func() {
			end := time.Now().Add(servedWithin)
			accepted, status := false, 0
			for try := 0; try < 3 && !accepted && time.Now().Before(end); try++ {
				in := instances[(i+5*try)%len(instances)]
				status, _ = call(in, "POST", routePrefix+id, []byte(`{"spec":"a quote","steps":[{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":200}]}`), time.Until(end))
				r.record("POST %s at %s -> %d", id, in.name, status)
				accepted = status >= 200 && status < 300
			}
			state := ""
			for accepted && state != "complete" && time.Now().Before(end) {
				time.Sleep(100 * time.Millisecond)
				status, text := call(instances[i%len(instances)], "GET", routePrefix+id, nil, max(time.Until(end), time.Millisecond))
				if status == 200 && text == `{"state":"complete"}` {
					state = "complete"
				}
				r.record("GET %s -> %d %s", id, status, text)
			}
			if state == "complete" {
				mu.Lock()
				s.served++
				mu.Unlock()
			}
		})
		time.Sleep(requestInterval)
	}
	running.Wait()
	return s
}
