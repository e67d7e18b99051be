package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/admit"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// admissionLoad is a load of jobs of five customers, each of which comes with the
// same rate, and what came of it.
type admissionLoad struct {
	policy   flow.Policy
	rate     func(customer int, since time.Duration) float64 // of its usual rate
	lost     [2]time.Duration                                // no summary arrives in between
	patience time.Duration                                   // after which a job is cancelled, 0 if never
	off      bool                                            // all jobs are accepted
	small    bool                                            // four times as many jobs of a quarter of the size

	jobs, accepted int
	useful         int                        // jobs that completed within three times their objective
	refused        map[string][]time.Duration // by job, when it was refused
}

// run replays the load for 16 s on a site of 256 cores, of which it usually needs
// three quarters. Refused clients come back when they are told, up to four times.
// Each instance has a summary 300 ms after the leader made it.
func (l *admissionLoad) run(t *testing.T, seed uint64) {
	const (
		attempts = 5
		lag      = 300 * time.Millisecond
	)
	perSecond, tasks := 4.9, 8 // jobs of one customer, and tasks of a job, each of a core-second
	if l.small {
		perSecond, tasks = 4*perSecond, tasks/4
	}
	l.refused = map[string][]time.Duration{}
	l.policy.Service, l.policy.MaxAttempts = simService, 3
	s := newSim(t, seed, 8)
	s.config = &flow.Config{Version: 2, CustomersOn: true, Queues: []flow.Queue{{Name: "q", Policy: l.policy}}}
	for c := range 5 {
		s.config.Customers = append(s.config.Customers, flow.Customer{Name: fmt.Sprintf("c%d", c), Weight: 9})
	}
	s.engine.SetConfig(s.config)
	s.run(time.Second)
	begin := s.now
	var reading admit.Reading
	var sentAt time.Time
	s.repeatEvery(500*time.Millisecond, func() {
		load, made := &admit.Load{Term: 1, Groups: s.engine.Load(s.now)}, s.now
		if since := s.now.Sub(begin); since >= l.lost[0] && since < l.lost[1] {
			return
		}
		s.after(lag, func() { reading, sentAt = admit.Reading{Load: load, Term: 1}, made })
	})
	var refusals admit.Refusals
	var submit func(spec flow.Spec, attempt int)
	submit = func(spec flow.Spec, attempt int) {
		reading.Age = s.now.Sub(sentAt)
		v := admit.Decide(s.now, &spec, reading, refusals.Count(spec.ID))
		if v.Reason == admit.ReasonNone || l.off {
			s.submit(&spec)
			if l.patience > 0 {
				s.after(l.patience, func() { s.cancel(spec.ID) })
			}
			return
		}
		refusals.Note(s.now, spec.ID)
		l.refused[spec.ID] = append(l.refused[spec.ID], s.now.Sub(begin))
		if attempt < attempts {
			s.after(v.RetryAfter, func() { submit(spec, attempt+1) })
		}
	}
	for c := range s.config.Customers {
		rng, n := rand.New(rand.NewPCG(seed, uint64(c))), 0
		var next func()
		next = func() {
			spec := newJobSpec(fmt.Sprintf("c%dj%d", c, n), "q", taskStep(tasks, 2000, 500))
			spec.Policy, spec.Customer = l.policy, s.config.Customers[c].Name
			n++
			l.jobs++
			submit(*spec, 1)
			if rate := perSecond * l.rate(c, s.now.Sub(begin)); s.now.Sub(begin) < 16*time.Second {
				s.after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), next)
			}
		}
		next()
	}
	s.run(40 * time.Second)
	for _, id := range s.jobIDs {
		l.accepted++
		if p := s.progress(id); p.State == flow.Complete && p.EndedMs-s.jobs[id].spec.AcceptedMs <= 3*s.jobs[id].spec.ObjectiveMs() {
			l.useful++
		}
	}
	is.New(t).Equal(s.violations, nil)
}

// burst returns the rates of a load whose customers, or only the given one if it is
// not negative, send factor times the usual rate for 4 s.
func burst(only int, factor float64) func(int, time.Duration) float64 {
	return func(customer int, since time.Duration) float64 {
		if (only < 0 || customer == only) && since >= 3*time.Second && since < 7*time.Second {
			return factor
		}
		return 1
	}
}

// loadSeeds are the seeds with which each load is replayed.
var loadSeeds = []uint64{1, 2, 3, 4, 5}

var (
	patientPolicy = flow.Policy{Stretch: 2, SlackMs: 2000} // useful for 9 s
	urgentPolicy  = flow.Policy{Stretch: 1}                // useful for 1.5 s
)

// TestServableLoadIsNotRefused guards against refusals of jobs that would have been
// served, under loads that exceed the capacity for a while.
func TestServableLoadIsNotRefused(t *testing.T) {
	tests := []struct {
		name string
		load admissionLoad
	}{
		{"rate x1.5 for 4 s", admissionLoad{policy: patientPolicy, rate: burst(-1, 1.5)}},
		{"rate x2.2 for 4 s", admissionLoad{policy: patientPolicy, rate: burst(-1, 2.2)}},
		{"demand swings by 0.55 in 13 s", admissionLoad{policy: patientPolicy, rate: func(_ int, since time.Duration) float64 {
			return 1.1 + 0.55*math.Sin(2*math.Pi*since.Seconds()/13)
		}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, seed := range loadSeeds {
				l := tt.load
				l.run(t, seed)
				if len(l.refused) > 0 || l.useful < l.jobs {
					t.Errorf("seed %d: got %d of %d jobs refused, want none; %d were of use, want all", seed, len(l.refused), l.jobs, l.useful)
				}
			}
		})
	}
}

// TestBurstBeyondCapacityIsRefused guards against jobs of a burst of the rate x2.2
// that are left to wait until they are of no use, and against more refusals than
// there are such jobs. Refused clients must be told to come back in time to be served.
func TestBurstBeyondCapacityIsRefused(t *testing.T) {
	const maxLost = 0.85 // of the jobs that are of no use without refusals
	lostBefore, lost := 0, 0
	for _, seed := range loadSeeds {
		off := admissionLoad{policy: urgentPolicy, rate: burst(-1, 2.2), off: true}
		off.run(t, seed)
		on := admissionLoad{policy: urgentPolicy, rate: burst(-1, 2.2)}
		on.run(t, seed)
		without := off.jobs - off.useful
		if n := len(on.refused); n == 0 || n > without {
			t.Errorf("seed %d: got %d jobs refused at first, want 1 to %d, as many as come too late without refusals", seed, n, without)
		}
		lostBefore, lost = lostBefore+without, lost+on.jobs-on.useful
	}
	if float64(lost) > maxLost*float64(lostBefore) {
		t.Errorf("got %d jobs refused for good or of no use, want at most %v of %d", lost, maxLost, lostBefore)
	}
}

// TestOnlyTheFloodingCustomerIsRefused guards against refusals of the others while
// one customer sends 7.5 times its usual rate. Their jobs wait behind its jobs, but
// what of them is within the objective is no more than their share serves in time.
func TestOnlyTheFloodingCustomerIsRefused(t *testing.T) {
	for _, seed := range loadSeeds {
		l := admissionLoad{policy: flow.Policy{Stretch: 1, SlackMs: 500}, rate: burst(2, 7.5), small: true}
		l.run(t, seed)
		for id := range l.refused {
			if !strings.HasPrefix(id, "c2") {
				t.Errorf("seed %d: job %s refused, want only jobs of c2 refused", seed, id)
			}
		}
		if len(l.refused) == 0 {
			t.Errorf("seed %d: got no refusal, want some of c2", seed)
		}
	}
}

// TestClientsThatGiveUpLeaveRoom guards against refusals because of the work of
// clients that have given up: there must be fewer of them than if none gives up, and
// every refused client must find room later.
func TestClientsThatGiveUpLeaveRoom(t *testing.T) {
	refusals, without := 0, 0
	for _, seed := range loadSeeds {
		patient := admissionLoad{policy: urgentPolicy, rate: burst(-1, 2.2)}
		patient.run(t, seed)
		l := admissionLoad{policy: urgentPolicy, rate: burst(-1, 2.2), patience: time.Second}
		l.run(t, seed)
		refusals, without = refusals+len(l.refused), without+len(patient.refused)
		if l.accepted < l.jobs {
			t.Errorf("seed %d: got %d of %d jobs accepted in the end, want all", seed, l.accepted, l.jobs)
		}
	}
	if refusals >= without {
		t.Errorf("got %d jobs refused, want fewer than the %d if no client gives up", refusals, without)
	}
}

// TestLostSummaryRefusesNothing guards against decisions by a summary that is lost
// for 3 s in a burst: jobs are accepted once the last one is 2 s old.
func TestLostSummaryRefusesNothing(t *testing.T) {
	for _, seed := range loadSeeds {
		l := admissionLoad{policy: urgentPolicy, rate: burst(-1, 3), lost: [2]time.Duration{5500 * time.Millisecond, 8500 * time.Millisecond}}
		l.run(t, seed)
		before := 0
		for id, times := range l.refused {
			for _, at := range times {
				if at < 5500*time.Millisecond {
					before++
				}
				if at > 7500*time.Millisecond && at < 8500*time.Millisecond {
					t.Errorf("seed %d: job %s refused at %v by a summary older than 2 s", seed, id, at)
				}
			}
		}
		if before == 0 {
			t.Errorf("seed %d: got no refusal before the summary was lost; the test shows nothing", seed)
		}
	}
}
