package main

import (
	"fmt"
	"strings"
	"time"
)

// Sizes of the case of the gang that waits for room.
const (
	gangInstances = 3
	gangMinions   = 10
	serviceID     = "1a57000000000002"
	serviceTasks  = 4
	serviceCPU    = 1000
	fillerID      = "ba7c000000000001"
	fillerCPU     = 10000
	fillerEach    = 2 // tasks on each minion
	fillerWork    = time.Minute
	gangID        = "9a96000000000001"
	gangCPU       = 15000 // one task on each minion
	gangWork      = 20 * time.Second
	failsAfter    = 12 * time.Second
	lastRunTime   = 6 * time.Second // a task that lasts may be away so long after its last run
	watchFor      = 20 * time.Second
)

// gangs has a job that lasts, of which one task ends failed, in a service with two
// thirds of its cores in use, while a gang waits for room.
func gangs(rig *rig) (result, error) {
	rec := rig.rec
	s, err := newSite(rec, gangInstances)
	if err != nil {
		return result{}, err
	}
	defer s.close(rig.logs)
	putConfig(s)
	err = s.addMinions(gangMinions, minionCPU, minionMem, func(task string, run int) (time.Duration, string) {
		job, _, _, index := taskOf(task)
		switch {
		case job == serviceID && index == 0 && run == 1:
			return failsAfter, "failed"
		case job == serviceID:
			return time.Hour, "done"
		case job == fillerID:
			return fillerWork, "done"
		}
		return gangWork, "done"
	})
	if err != nil {
		return result{}, err
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
	if err := submit("/batch/", serviceID, fmt.Sprintf(`{"count":%d,"cpu":%d,"mem_mb":1024,"daemon":true}`, serviceTasks, serviceCPU)); err != nil {
		return result{}, err
	}
	time.Sleep(2 * time.Second)
	if err := submit("/batch/", fillerID, fmt.Sprintf(`{"count":%d,"cpu":%d,"mem_mb":20000,"estimate_ms":60000,"anti_affinity":%d}`, fillerEach*gangMinions, fillerCPU, fillerEach)); err != nil {
		return result{}, err
	}
	time.Sleep(2 * time.Second)
	if rig.trouble {
		if err := submit("/profile/", gangID, fmt.Sprintf(`{"count":%d,"cpu":%d,"mem_mb":20000,"estimate_ms":20000,"gang":true}`, gangMinions, gangCPU)); err != nil {
			return result{}, err
		}
	}
	task := serviceID + ".0.0.0"
	for deadline := time.Now().Add(failsAfter); ; time.Sleep(5 * time.Millisecond) {
		rec.mu.Lock()
		failed := rec.failed[task]
		rec.mu.Unlock()
		if failed > 0 {
			break
		}
		if time.Now().After(deadline) {
			return result{}, fmt.Errorf("the task %s did not run", task)
		}
	}
	ended := time.Now()
	room := 0
	for _, m := range s.minions {
		room += s.freeOn(m) / serviceCPU
	}
	rec.note("task %s has ended failed; there is room for %d such tasks on %d minions", task, room, gangMinions)
	away := watchFor
	for time.Since(ended) < watchFor {
		rec.mu.Lock()
		starts := rec.starts[task]
		rec.mu.Unlock()
		if starts > 1 {
			away = time.Since(ended)
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	status, answer := s.call(s.instances[0], "GET", "/batch/"+serviceID, "")
	rec.note("job %s: GET gets %d %s", serviceID, status, strings.TrimSpace(answer))
	if away > lastRunTime+idleTime {
		return result{true, fmt.Sprintf("LOST: the task that lasts %s has not run for %v, with room for it %d times over and nothing disturbed", task, away, room)}, nil
	}
	return result{false, fmt.Sprintf("the task that lasts %s was away for %v, with room for it %d times over", task, away, room)}, nil
}

// freeOn returns the thousandths of a core that no run on a minion requests.
func (s *site) freeOn(m *minion) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	free := int(m.cpu)
	for task := range m.runs {
		switch job, _, _, _ := taskOf(task); job {
		case serviceID:
			free -= serviceCPU
		case fillerID:
			free -= fillerCPU
		case gangID:
			free -= gangCPU
		}
	}
	return free
}
