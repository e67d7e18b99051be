package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Sizes of the case of the minion that goes down and up by turns.
const (
	flapInstances = 3
	flapMinions   = 10 // one of them goes down and up: a share of 0.1
	flapPeriod    = 1400 * time.Millisecond
	flapFor       = 6500 * time.Millisecond
	lastingTasks  = 10
	lastingID     = "1a57000000000001"
	quickEvery    = 100 * time.Millisecond
	quickTasks    = 2
	flapTraffic   = 20 * time.Second
)

// grownBounds changes the settings to those of the grown site, whose pages name the
// disruption.
var grownBounds = []string{
	"contact_ms = 3000", "contact_ms = 4000", "ack_ms = 4000", "ack_ms = 6000", "catch_up_s = 4", "catch_up_s = 6", "drain_ms = 2000", "drain_ms = 3000",
	"config_apply_ms = 2000", "config_apply_ms = 3000", "max_stretch_ms = 5000", "max_stretch_ms = 6000", "recover_s = 12", "recover_s = 15",
	"gang_wait_ms = 3000", "gang_wait_ms = 4000", "cancel_ms = 3000", "cancel_ms = 4000", "notice_ms = 4500", "notice_ms = 5500",
	"harm_ms = 4000", "harm_ms = 4500", "writes_per_s = 600", "writes_per_s = 1200", "reads_per_s = 2000", "reads_per_s = 6000",
}

// flaps has a job that lasts with a task on each minion, and quick jobs beside it,
// while one minion goes down and up by turns. No task fails by its own fault.
func flaps(rig *rig) (result, error) {
	rec := rig.rec
	s, err := newSite(rec, flapInstances, grownBounds...)
	if err != nil {
		return result{}, err
	}
	defer s.close(rig.logs)
	putConfig(s)
	err = s.addMinions(flapMinions, minionCPU, minionMem, func(task string, _ int) (time.Duration, string) {
		if strings.HasPrefix(task, lastingID) {
			return time.Hour, "done"
		}
		return probeWork, "done"
	})
	if err != nil {
		return result{}, err
	}
	if err := s.startAll(rig.run); err != nil {
		return result{}, err
	}
	time.Sleep(3 * time.Second)
	status, answer := s.anyCall("POST", "/batch/"+lastingID, fmt.Sprintf(`{"spec":"service","steps":[{"count":%d,"cpu":4000,"mem_mb":4096,"daemon":true,"anti_affinity":1,"allow_miss":1}]}`, lastingTasks))
	rec.note("job %s, %d tasks that last, one a minion: POST gets %d %s", lastingID, lastingTasks, status, answer)
	if status/100 != 2 {
		return result{}, fmt.Errorf("the job that lasts was not accepted: status %d", status)
	}
	time.Sleep(3 * time.Second)
	rec.note("%d runs at work", s.runsNow())
	began := time.Now()
	flapped := make(chan error, 1)
	go func() { flapped <- s.flap(rig, s.minions[len(s.minions)-1], began.Add(2*time.Second)) }()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var ids []string
	for i := 0; time.Since(began) < flapTraffic; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i) * quickEvery)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("f1%014x", i+1)
			status, _ := s.anyCall("POST", "/quick/"+id, fmt.Sprintf(`{"spec":"quote","steps":[{"count":%d,"cpu":%d,"mem_mb":5700,"estimate_ms":640}]}`, quickTasks, probeCPU))
			if status/100 == 2 {
				mu.Lock()
				defer mu.Unlock()
				ids = append(ids, id)
			}
		}()
	}
	wg.Wait()
	rec.note("end of the traffic: %d quick jobs were accepted", len(ids))
	if err := <-flapped; err != nil {
		return result{}, err
	}
	time.Sleep(finishTime)
	var wrong []string
	look := func(path, id string) {
		status, answer := s.call(s.instances[0], "GET", path+id, "")
		rec.mu.Lock()
		failed := 0
		for _, how := range rec.endsOf[id] {
			if how == "failed" {
				failed++
			}
		}
		lost, ends := rec.lostOf[id], len(rec.endsOf[id])
		rec.mu.Unlock()
		bad := status == 200 && strings.Contains(answer, `"failed"`) && failed == 0
		if bad {
			wrong = append(wrong, id)
		}
		if bad || id == lastingID {
			rec.note("job %s: GET gets %d %s; its runs: %d ends, %d of them failed; %d lost with a minion that crashed", id, status, answer, ends, failed, lost)
		}
	}
	look("/batch/", lastingID)
	for _, id := range ids {
		look("/quick/", id)
	}
	atWork := 0
	rec.mu.Lock()
	for i := range lastingTasks {
		if rec.active[fmt.Sprintf("%s.0.0.%d", lastingID, i)] > 0 {
			atWork++
		}
	}
	stops := 0
	for _, how := range rec.endsOf[lastingID] {
		if how == "stopped" {
			stops++
		}
	}
	rec.mu.Unlock()
	rec.note("tasks that last at work: %d of %d; stopped on sound minions: %d", atWork, lastingTasks, stops)
	if len(wrong) > 0 {
		return result{true, fmt.Sprintf("LOST: %d jobs are shown as failed, and no run of them has ended failed: %s; %d of %d lasting tasks at work, %d stopped", len(wrong), strings.Join(wrong, " "), atWork, lastingTasks, stops)}, nil
	}
	return result{false, fmt.Sprintf("no job is shown as failed; %d of %d lasting tasks at work", atWork, lastingTasks)}, nil
}

// flap makes a minion go down and up by turns from a time on.
func (s *site) flap(rig *rig, m *minion, from time.Time) error {
	if !rig.trouble {
		return nil
	}
	time.Sleep(time.Until(from))
	for end := from.Add(flapFor); time.Now().Before(end); {
		m.crash()
		time.Sleep(flapPeriod / 2)
		if err := m.restart(); err != nil {
			return err
		}
		time.Sleep(flapPeriod / 2)
	}
	return nil
}

// runsNow returns the number of runs on all minions.
func (s *site) runsNow() int {
	n := 0
	for _, m := range s.minions {
		n += m.runsNow()
	}
	return n
}
