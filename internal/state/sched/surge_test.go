package sched

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// TestSurgeOfOneCustomerSparesOthers guards against a customer that sends 7.5 times
// its usual load for 10 s and takes the workers or the placement clients from the
// others. 20 customers with weights from 1 to 66 usually send at their weights /
// 1.9, which keeps about 80 % of the processors busy.
func TestSurgeOfOneCustomerSparesOthers(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates 26 s of a site with 300 workers twice")
	}
	const (
		customers = 20
		// maxLoss is the mean value that a job of the others may lose; 0.030 without shares.
		maxLoss = 0.015
	)
	run := func(surging int) map[string]*loadResult {
		s := newSim(t, 1, 300)
		s.placementClients, s.timedQueries, s.params.ShareWindow = 30, true, 2*time.Second
		s.config = &flow.Config{CustomersOn: true}
		var load []loadClass
		for i := range customers {
			c := flow.Customer{Name: fmt.Sprintf("c%02d", i), Weight: math.Pow(66, float64(i)/(customers-1))}
			s.config.Customers = append(s.config.Customers, c)
			for _, class := range mixedLoad() {
				class.customer, class.burst, class.burstFor = c.Name, 1, 10*time.Second
				class.perSecond *= c.Weight / 1.9 / 139.38 // of all classes together
				if i == surging {
					class.burst = 7.5
				}
				load = append(load, class)
			}
		}
		s.startLeader()
		s.run(time.Second)
		s.after(11*time.Second, func() { t.Logf("%.2f of the processors in use", s.engine.Stats(s.now).CPU.Used) })
		results := s.runLoad(1, load, 18*time.Second, 8*time.Second)
		is.New(t).Equal(s.violations, nil)
		return results
	}
	usual, surge := run(-1), run(customers-1)
	var jobs, before, after, worst float64
	for i := range customers {
		u, v := usual[fmt.Sprintf("c%02d", i)], surge[fmt.Sprintf("c%02d", i)]
		was, is := u.value()/float64(u.jobs), v.value()/float64(v.jobs)
		t.Logf("customer %d: %d jobs, value %.3f, %.2f s; in the surge %d, %.3f, %.2f s", i, u.jobs, was, u.took.Seconds()/float64(u.jobs), v.jobs, is, v.took.Seconds()/float64(v.jobs))
		if i < customers-1 {
			jobs, before, after = jobs+float64(u.jobs), before+was*float64(u.jobs), after+is*float64(u.jobs)
			worst = max(worst, was-is)
		}
	}
	loss := (before - after) / jobs
	t.Logf("the jobs of the others lost %.4f of their value, those of one customer %.3f at most", loss, worst)
	if loss > maxLoss {
		t.Errorf("the jobs of the others lost %.4f of their value in the surge of one customer; want at most %.3f", loss, maxLoss)
	}
}
