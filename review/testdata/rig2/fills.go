package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// Sizes of the case of the tasks that fill.
const (
	fillInstances = 3
	fillMinions   = 10
	servingID     = "1a57000000000003"
	servingCPU    = 4000 // one task on each minion
	targetMs      = 100
	usualTailMs   = 70
	burstTailMs   = 95
	burstFor      = 4 * time.Second
	fillFirstID   = "f111000000000001"
	fillSecondID  = "f111000000000002"
	fillFirstWork = 20 * time.Second
	fillWork      = 2 * time.Second
	fillSecond    = 4 // tasks of the second job that fills; any minion may run all of them
)

// fills has a job that serves, with a task on each minion and a tail that stays
// below its target, and jobs that fill beside it. For some seconds the tail is
// higher, and still below the target.
func fills(rig *rig) (result, error) {
	rec := rig.rec
	s, err := newSite(rec, fillInstances)
	if err != nil {
		return result{}, err
	}
	defer s.close(rig.logs)
	putConfig(s)
	err = s.addMinions(fillMinions, minionCPU, minionMem, func(task string, _ int) (time.Duration, string) {
		switch job, _, _, _ := taskOf(task); job {
		case servingID:
			return time.Hour, "done"
		case fillFirstID:
			return fillFirstWork, "done"
		}
		return fillWork, "done"
	})
	if err != nil {
		return result{}, err
	}
	var tail atomic.Int64
	tail.Store(usualTailMs)
	for _, m := range s.minions {
		m.mu.Lock()
		m.tail = func(task string) int {
			if strings.HasPrefix(task, servingID) {
				return int(tail.Load())
			}
			return 0
		}
		m.paced = func(task string) bool { return !strings.HasPrefix(task, servingID) }
		m.mu.Unlock()
	}
	if err := s.startAll(rig.run); err != nil {
		return result{}, err
	}
	time.Sleep(3 * time.Second)
	submit := func(path, id, step string) error {
		status, answer := s.anyCall("POST", path+id, `{"spec":"text","steps":[`+step+`]}`)
		rec.note("job %s %s: POST gets %d %s", id, step, status, answer)
		if status/100 != 2 {
			return fmt.Errorf("job %s was not accepted: status %d", id, status)
		}
		return nil
	}
	if err := submit("/quick/", servingID, fmt.Sprintf(`{"count":%d,"cpu":%d,"mem_mb":4096,"daemon":true,"anti_affinity":1,"image":"web","target_ms":%d}`, fillMinions, servingCPU, targetMs)); err != nil {
		return result{}, err
	}
	time.Sleep(2 * time.Second)
	fill := `{"count":%d,"cpu":8000,"mem_mb":2048,"estimate_ms":%d,"fills":true,"image":"batch"%s}`
	if err := submit("/batch/", fillFirstID, fmt.Sprintf(fill, fillMinions, fillFirstWork.Milliseconds(), `,"anti_affinity":1`)); err != nil {
		return result{}, err
	}
	time.Sleep(3 * time.Second)
	if rig.trouble {
		rec.note("the tail of the serving tasks is %d ms for %v, their target is %d ms", burstTailMs, burstFor, targetMs)
		tail.Store(burstTailMs)
	}
	time.Sleep(burstFor)
	tail.Store(usualTailMs)
	rec.note("the tail of the serving tasks is %d ms", usualTailMs)
	time.Sleep(5 * time.Second)
	if err := submit("/batch/", fillSecondID, fmt.Sprintf(fill, fillSecond, fillWork.Milliseconds(), "")); err != nil {
		return result{}, err
	}
	rec.note("end of the traffic")
	time.Sleep(finishTime + idleTime)
	shown := func(id string) string {
		status, answer := s.call(s.instances[0], "GET", "/batch/"+id, "")
		rec.mu.Lock()
		started, active := 0, 0
		for i := range fillMinions {
			started += rec.starts[fmt.Sprintf("%s.0.0.%d", id, i)]
			active += rec.active[fmt.Sprintf("%s.0.0.%d", id, i)]
		}
		rec.mu.Unlock()
		rec.note("job %s: GET gets %d %s; starts: %d, runs at work: %d", id, status, answer, started, active)
		if started == 0 {
			return "nothing has run"
		}
		return answer
	}
	first, second := shown(fillFirstID), shown(fillSecondID)
	rec.note("%d of %d thousandths of a core are taken by tasks that don't fill; memory for over 50 more tasks of 2048 MB is free on each minion", fillMinions*servingCPU, fillMinions*minionCPU)
	if second == "nothing has run" {
		return result{true, fmt.Sprintf("LOST: nothing of job %s has run %v after the end of the traffic, with an eighth of the cores in use and room on each minion; the job before it: %s", fillSecondID, finishTime+idleTime, first)}, nil
	}
	return result{false, fmt.Sprintf("the jobs that fill: %s, %s", first, second)}, nil
}
