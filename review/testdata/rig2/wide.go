package main

import (
	"fmt"
	"hash/fnv"
	"strings"
	"sync"
	"time"
)

// Sizes of the case of wide jobs. All times are seconds from the first job.
const (
	wideInstances   = 3
	wideMinions     = 48
	minionCPU       = 32000
	minionMem       = 131072
	wideJobsCount   = 600
	wideFirst       = 5    // tasks of the first step
	wideSecond      = 2000 // tasks of the second step, which wait for the first
	wideCPU         = 200
	wideSubmitFor   = 12 * time.Second
	wideOutageAt    = 14 * time.Second
	wideOutage      = 4500 * time.Millisecond
	wideProbesAt    = 22 * time.Second
	wideProbes      = 20
	probeTasks      = 2
	probeCPU        = 2800
	probeWork       = 640 * time.Millisecond
	finishTime      = 14 * time.Second // finish_s
	idleTime        = 3 * time.Second
	wideTaskRunTime = 200 * time.Second // of the last task of a first step, beyond the case's end
)

func spread(name string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

func putConfig(s *site) {
	s.st.put("keyed.op", "config", fmt.Appendf(nil, `{"version":3,"routes":[`+
		`{"name":"batch","host":%[1]q,"path_prefix":"/batch/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":3000,"priority":2,"service":%[2]q,"max_attempts":3,"stretch":4.0},`+
		`{"name":"profile","host":%[1]q,"path_prefix":"/profile/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":1000,"priority":1,"service":%[2]q,"max_attempts":2,"stretch":2.2},`+
		`{"name":"quick","host":%[1]q,"path_prefix":"/quick/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":250,"priority":0,"service":%[2]q,"max_attempts":4,"stretch":1.5}],`+
		`"services":[{"name":%[2]q,"health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"admission_check":false,"standby":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, host, service))
}

func wideJobs(rig *rig) (result, error) {
	rec := rig.rec
	rec.quiet = true
	s, err := newSite(rec, wideInstances)
	if err != nil {
		return result{}, err
	}
	defer s.close(rig.logs)
	putConfig(s)
	err = s.addMinions(wideMinions, minionCPU, minionMem, func(task string, _ int) (time.Duration, string) {
		job, _, step, index := taskOf(task)
		switch {
		case strings.HasPrefix(job, "ff"):
			return probeWork, "done"
		case step == 0 && index == wideFirst-1:
			return wideTaskRunTime, "done"
		}
		return 4*time.Second + time.Duration(spread(task)*float64(18*time.Second)), "done"
	})
	if err != nil {
		return result{}, err
	}
	if err := s.startAll(rig.run); err != nil {
		return result{}, err
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	until := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	rec.note("%d jobs of %d and %d tasks are submitted within %v", wideJobsCount, wideFirst, wideSecond, wideSubmitFor)
	body := fmt.Sprintf(`{"spec":"wide","steps":[{"count":%d,"cpu":%d,"mem_mb":64,"estimate_ms":10000},{"count":%d,"cpu":%d,"mem_mb":64,"estimate_ms":1000,"depends_on":[0]}]}`, wideFirst, wideCPU, wideSecond, wideCPU)
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	for i := range wideJobsCount {
		until(time.Duration(i) * wideSubmitFor / wideJobsCount)
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, _ := s.anyCall("POST", fmt.Sprintf("/batch/%016x", 0xb0000000+i), body)
			mu.Lock()
			defer mu.Unlock()
			if status/100 == 2 {
				accepted++
			} else {
				rec.note("job %016x: status %d", 0xb0000000+i, status)
			}
		}()
	}
	wg.Wait()
	rec.note("%d of %d wide jobs were accepted; %d runs at work", accepted, wideJobsCount, s.runsNow())
	if accepted < wideJobsCount*9/10 {
		return result{}, fmt.Errorf("only %d of %d jobs were accepted", accepted, wideJobsCount)
	}
	until(wideOutageAt)
	if rig.trouble {
		rec.note("the store is down (silent) for %v", wideOutage)
		s.st.setSilent(true)
	}
	until(wideOutageAt + wideOutage)
	s.st.setSilent(false)
	if rig.trouble {
		rec.note("the store is back")
	}
	until(wideProbesAt)
	var probes []string
	for i := range wideProbes {
		id := fmt.Sprintf("ff%014x", i+1)
		status, answer := s.anyCall("POST", "/quick/"+id, fmt.Sprintf(`{"spec":"quote","steps":[{"count":%d,"cpu":%d,"mem_mb":5700,"estimate_ms":640}]}`, probeTasks, probeCPU))
		rec.note("job %s: POST gets %d %s", id, status, answer)
		if status/100 == 2 {
			probes = append(probes, id)
		}
	}
	rec.note("end of the traffic")
	if len(probes) == 0 {
		return result{}, fmt.Errorf("no job was accepted after the outage")
	}
	time.Sleep(finishTime)
	// From here on each accepted job is looked at for idleTime.
	usedMax, cpuAll := 0, wideMinions*minionCPU
	from := time.Now()
	for time.Since(from) < idleTime {
		usedMax = max(usedMax, s.runsNow()*wideCPU)
		time.Sleep(50 * time.Millisecond)
	}
	var idle []string
	for _, id := range probes {
		status, answer := s.call(s.instances[0], "GET", "/quick/"+id, "")
		rec.mu.Lock()
		last, begun := rec.startAt[id]
		active := rec.active[id+".0.0.0"] + rec.active[id+".0.0.1"]
		rec.mu.Unlock()
		rec.note("job %s: GET gets %d %s; started: %v, runs at work: %d", id, status, answer, begun, active)
		if status == 200 && !strings.Contains(answer, "complete") && active == 0 && (!begun || time.Since(last) > idleTime) {
			idle = append(idle, id)
		}
	}
	rec.note("at most %d of %d thousandths of a core were in use in these %v", usedMax, cpuAll, idleTime)
	s.st.mu.Lock()
	rec.note("appends over call_bytes (%d) that the store has refused: %d, the largest of %d bytes", callBytes, s.st.oversize, s.st.oversizeMax)
	s.st.mu.Unlock()
	if len(idle) > 0 && usedMax*2 < cpuAll {
		return result{true, fmt.Sprintf("LOST: %d of %d accepted jobs have nothing running %v after the end of the traffic and for %v more, with most of the capacity free", len(idle), len(probes), finishTime, idleTime)}, nil
	}
	return result{false, fmt.Sprintf("%d of %d jobs accepted after the outage are idle", len(idle), len(probes))}, nil
}

// runsNow returns the number of runs on all minions.
func (s *site) runsNow() int {
	n := 0
	for _, m := range s.minions {
		n += m.runsNow()
	}
	return n
}
