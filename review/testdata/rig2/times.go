package main

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Sizes of the case of the job with times.
const (
	timesInstances = 3
	timesMinions   = 10 // one of them is of the kind that a step requires
	timesID        = "71e5000000000001"
	timesCount     = 60
	timesEvery     = 500 * time.Millisecond
	timesWide      = 200 // tasks of an occurrence without a requirement
	timesCPU       = 100
	timesWork      = 200 * time.Millisecond
	timesFirstIn   = 3 * time.Second
	specialKind    = "b"
)

// times has a job with times, each of which has a step that any minion can run and
// one for which only one minion fits, while that minion is lost for good.
func times(rig *rig) (result, error) {
	rec := rig.rec
	rec.quiet = true
	s, err := newSite(rec, timesInstances)
	if err != nil {
		return result{}, err
	}
	defer s.close(rig.logs)
	putConfig(s)
	err = s.addMinions(timesMinions, minionCPU, minionMem, func(string, int) (time.Duration, string) { return timesWork, "done" })
	if err != nil {
		return result{}, err
	}
	special := s.minions[timesMinions-1]
	special.mu.Lock()
	special.labels = []string{specialKind, special.labels[1]}
	special.mu.Unlock()
	if err := s.startAll(rig.run); err != nil {
		return result{}, err
	}
	time.Sleep(3 * time.Second)
	if rig.trouble {
		special.crash()
		rec.note("minion %s, the only one of kind %s, is lost for good", special.id, specialKind)
		// The store removes its entry after three check-in intervals of silence.
		time.AfterFunc(3*heartbeat, func() { s.st.remove("keyed.servers", special.id) })
	}
	first := time.Now().Add(timesFirstIn)
	body := fmt.Sprintf(`{"spec":"text","steps":[{"count":%d,"cpu":%d,"mem_mb":16,"estimate_ms":200},{"count":1,"cpu":%d,"mem_mb":16,"estimate_ms":200,"requirements":%q}],"times":%d,"first_run_ms":%d,"interval_ms":%d}`,
		timesWide, timesCPU, timesCPU, specialKind, timesCount, first.UnixMilli(), timesEvery.Milliseconds())
	status, answer := s.anyCall("POST", "/batch/"+timesID, body)
	rec.note("job %s, %d times, one each %v, of %d tasks for any minion and one for kind %s: POST gets %d %s", timesID, timesCount, timesEvery, timesWide, specialKind, status, answer)
	if status/100 != 2 {
		return result{}, fmt.Errorf("the job was not accepted: status %d", status)
	}
	time.Sleep(time.Until(first.Add(timesCount * timesEvery)))
	rec.note("all times are due; end of the traffic")
	time.Sleep(finishTime)
	most := 0
	for from := time.Now(); time.Since(from) < idleTime; time.Sleep(20 * time.Millisecond) {
		most = max(most, s.runsNow())
	}
	status, answer = s.call(s.instances[0], "GET", "/batch/"+timesID, "")
	rec.mu.Lock()
	begun := map[int]int{}
	for task := range rec.starts {
		_, k, step, _ := taskOf(task)
		if step == 0 {
			begun[k]++
		}
	}
	rec.mu.Unlock()
	var never []int
	for k := range timesCount {
		if begun[k] == 0 {
			never = append(never, k)
		}
	}
	sort.Ints(never)
	rec.note("job %s: GET gets %d %s; runs at work in the last %v: at most %d; times of which no task for any minion has begun: %s", timesID, status, answer, idleTime, most, strings.Trim(fmt.Sprint(never), "[]"))
	if len(never) > 0 && most == 0 {
		return result{true, fmt.Sprintf("LOST: %d of %d times have not begun %v after the last was due, and nothing of the job has run for %v on idle minions", len(never), timesCount, finishTime+idleTime, idleTime)}, nil
	}
	return result{false, fmt.Sprintf("%d of %d times have not begun", len(never), timesCount)}, nil
}
