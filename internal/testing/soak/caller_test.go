package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// job is what a caller knows of one of its jobs.
type job struct {
	accepted   bool
	mayRun     bool // a submission had no answer that says that it was not carried out
	canceledAt time.Time
	// mayBeCanceled is set once a cancellation was sent: one without an answer may
	// have been carried out.
	mayBeCanceled bool
}

// caller submits jobs one after another at random instances, over connections
// that it keeps open.
type caller struct {
	site *site
	rng  *rand.Rand
	name string
	jobs map[string]*job
	n    int
	seen map[string]int // newest configuration version seen, by process
}

// body is the job that all callers submit.
var body = fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":2000,"mem_mb":1000,"estimate_ms":300}]}`, tasksOfAJob)

func (c *caller) run(stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		case <-time.After(clientPause):
		}
		c.n++
		id := fmt.Sprintf("%s%010x", c.name, c.n)
		j := &job{}
		c.jobs[id] = j
		c.submit(client, id, j)
		if j.accepted && c.rng.IntN(cancelledJob) == 0 {
			c.cancel(client, id, j)
		}
		c.query(client)
		c.checkVersion(client)
		if c.site.keyed {
			c.checkKey(client)
		}
	}
}

// submit submits a job until it is accepted or has been refused often enough.
func (c *caller) submit(client *http.Client, id string, j *job) {
	for range maxAttempts {
		status, _ := c.site.anyInstance(c.rng).call(client, http.MethodPost, "/q/"+id, body)
		switch status {
		case http.StatusOK:
			j.accepted, j.mayRun = true, true
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			j.mayRun = true
		}
		time.Sleep(clientPause)
	}
}

func (c *caller) cancel(client *http.Client, id string, j *job) {
	j.mayBeCanceled = true
	for range maxAttempts {
		status, _ := c.site.anyInstance(c.rng).call(client, http.MethodDelete, "/q/"+id, "")
		switch status {
		case http.StatusOK:
			j.canceledAt = time.Now()
			return
		case http.StatusGone:
			c.site.t.Errorf("job %s: accepted, but unknown when it is cancelled", id)
			return
		}
		time.Sleep(clientPause)
	}
}

// query queries one of the caller's accepted jobs.
func (c *caller) query(client *http.Client) {
	id := fmt.Sprintf("%s%010x", c.name, 1+c.rng.IntN(c.n))
	if !c.jobs[id].accepted {
		return
	}
	if status, _ := c.site.anyInstance(c.rng).call(client, http.MethodGet, "/q/"+id, ""); status == http.StatusGone {
		c.site.t.Errorf("job %s: accepted, but shown as unknown", id)
	}
}

// checkVersion checks that a process that has shown a configuration does not
// show an earlier one.
func (c *caller) checkVersion(client *http.Client) {
	in := c.site.anyInstance(c.rng)
	c.site.mu.Lock()
	version := c.site.version
	c.site.mu.Unlock()
	in.mu.Lock()
	process := in.name + "/" + strconv.Itoa(in.life)
	in.mu.Unlock()
	if status, _ := in.call(client, http.MethodGet, fmt.Sprintf("/%d/", version), ""); status == http.StatusOK {
		c.seen[process] = max(c.seen[process], version)
		return
	}
	old := c.seen[process]
	if old == 0 || old == version {
		return
	}
	if status, _ := in.call(client, http.MethodGet, fmt.Sprintf("/%d/", old-1), ""); status == http.StatusOK {
		in.mu.Lock()
		same := process == in.name+"/"+strconv.Itoa(in.life)
		in.mu.Unlock()
		if same {
			c.site.t.Errorf("process %s: shows configuration %d after %d", process, old-1, old)
		}
	}
}

// checkKey checks that no instance, whatever its faults, executes a request with a
// key that was removed too long ago, or rejects one with a key that is there long
// enough.
func (c *caller) checkKey(client *http.Client) {
	s := c.site
	s.mu.Lock()
	v := 1 + c.rng.IntN(s.version)
	addedAt, removedAt := s.configuredAt[v], s.configuredAt[v+1]
	s.mu.Unlock()
	in, sentAt := s.anyInstance(c.rng), time.Now()
	// A peer that is not cut off knows the job's state.
	status, _ := in.callWithKey(client, versionKey(v), http.MethodGet, fmt.Sprintf("/q/%s%010x", c.name, c.n), "")
	s.mu.Lock()
	newest := s.version
	s.mu.Unlock()
	switch {
	case (status == http.StatusOK || status == http.StatusGone) && !removedAt.IsZero() && sentAt.Sub(removedAt) > revokeTime:
		s.t.Errorf("instance %s: executed a request sent %v after its key was removed", in.name, sentAt.Sub(removedAt))
	case status == http.StatusUnauthorized && v == newest && !addedAt.IsZero() && sentAt.Sub(addedAt) > applyTime:
		s.t.Errorf("instance %s: unauthorized request sent %v after its key was added", in.name, sentAt.Sub(addedAt))
	}
}

// checkJobs checks, once the faults have ended, that accepted jobs become
// complete, that refused ones have never run, and that cancelled ones have not
// started after their cancellation.
func checkJobs(s *site, callers []*caller) {
	deadline := time.Now().Add(finishTime)
	accepted, refused := 0, 0
	for _, c := range callers {
		for id, j := range c.jobs {
			switch {
			case j.accepted && j.canceledAt.IsZero():
				accepted++
				if got := waitComplete(s, c.rng, id, deadline); got != "complete" && (got != "canceled" || !j.mayBeCanceled) {
					s.t.Errorf("job %s: accepted, but its state is %q at the end", id, got)
				}
			case !j.mayRun:
				refused++
				s.mu.Lock()
				if s.started[id] > 0 {
					s.t.Errorf("job %s: refused at every attempt, but %d tasks were started", id, s.started[id])
				}
				s.mu.Unlock()
			}
			if !j.canceledAt.IsZero() {
				s.mu.Lock()
				if last := s.startsAt[id]; last > j.canceledAt.Add(cancelTime).UnixMilli() {
					s.t.Errorf("job %s: a task started %v after its cancellation was acknowledged", id, time.UnixMilli(last).Sub(j.canceledAt))
				}
				s.mu.Unlock()
			}
		}
	}
	s.t.Logf("%d jobs accepted, %d refused at every attempt, %d task starts", accepted, refused, s.platform.Fleet.RunStarts())
	if accepted == 0 {
		s.t.Error("no job was accepted")
	}
}

// waitComplete returns a job's state once it is complete or cancelled, or at the
// deadline.
func waitComplete(s *site, rng *rand.Rand, id string, deadline time.Time) string {
	for {
		status, got := s.anyInstance(rng).call(http.DefaultClient, http.MethodGet, "/q/"+id, "")
		state := strings.TrimSuffix(strings.TrimPrefix(got, `{"state":"`), `"}`)
		if state == "complete" || state == "canceled" || time.Now().After(deadline) {
			if status != http.StatusOK {
				return fmt.Sprintf("status %d", status)
			}
			return state
		}
		time.Sleep(50 * time.Millisecond)
	}
}
