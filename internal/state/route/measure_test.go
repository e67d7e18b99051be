package route_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/route"
	"github.com/tamaracklink/tamaracklink/internal/testing/check"
)

var (
	deployments = []deployment{
		{name: "cordage", instanceCount: 6, minionCount: 50, hop: time.Millisecond, duration: 30 * time.Second},
		{name: "lindqvist", instanceCount: 6, minionCount: 50, hop: 1500 * time.Microsecond, duration: 30 * time.Second},
	}
	loads      = []float64{0.5, 0.8, 0.95, 2}
	owned      = strategy{name: "owned, expected finish", selection: route.ChooseExpectedFinish}
	idealQueue = strategy{name: "ideal: one queue", selection: route.ChooseExpectedFinish, singleQueue: true}
	baselines  = []strategy{
		{name: "round robin", selection: route.ChooseRoundRobin, sharedMinions: true},
		{name: "least outstanding", selection: route.ChooseLeastOutstanding, sharedMinions: true},
		{name: "power of two", selection: route.ChoosePowerOfTwo, sharedMinions: true},
	}
)

// TestStrategyMeetsObjectives simulates every strategy on both deployments and
// compares the table of results with docs/REQUESTS.md. It checks the project's
// objectives: the p99 latency of quick requests is at most 1.3 times that of
// the ideal, a single queue, at load 0.8, and no higher than that of any
// baseline at every load.
func TestStrategyMeetsObjectives(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for a while")
	}
	var table strings.Builder
	table.WriteString("| deployment | load | way | urgent p50/p95/p99 ms | quick | patient | refused of all | handed over |\n|---|---|---|---|---|---|---|---|\n")
	for _, d := range deployments {
		for _, load := range loads {
			d.load = load
			compareStrategies(t, &table, d)
		}
	}
	check.Table(t, "../../../docs/REQUESTS.md", table.String())
}

// compareStrategies adds the deployment's rows to the table and checks the
// objectives.
func compareStrategies(t *testing.T, table *strings.Builder, d deployment) {
	strategies := append([]strategy{owned, idealQueue}, baselines...)
	sims := make([]*simulation, len(strategies))
	var wg sync.WaitGroup
	for i, s := range strategies {
		wg.Go(func() {
			sims[i] = newSimulation(d, s, 7)
			sims[i].run()
		})
	}
	wg.Wait()
	for _, s := range sims {
		table.WriteString(s.row())
	}
	own, idealP99 := sims[0].p99(), sims[1].p99()
	if d.load == 0.8 && own > 1.3*idealP99 {
		t.Errorf("%s at load %.2f: p99 latency of quick requests: got %.0f ms, want at most 1.3 times the single queue's %.0f ms", d.name, d.load, own, idealP99)
	}
	for _, s := range sims[2:] {
		if own > s.p99() {
			t.Errorf("%s at load %.2f: p99 latency of quick requests: got %.0f ms, want at most that of %s, %.0f ms", d.name, d.load, own, s.strategy.name, s.p99())
		}
	}
	if d.load > 1 {
		checkOverload(t, sims[0])
	}
}

// checkOverload checks at load 2 that patient requests make progress and that
// tenants with equal shares get about as many answers.
func checkOverload(t *testing.T, s *simulation) {
	if n := len(s.latencies[route.ClassPatient]); n < 100 {
		t.Errorf("%s at load 2: answered patient requests: got %d, want at least 100", s.deployment.name, n)
	}
	least, most := -1, 0
	for _, n := range s.served {
		if least < 0 || n < least {
			least = n
		}
		most = max(most, n)
	}
	if float64(most) > 1.1*float64(least) {
		t.Errorf("%s at load 2: answers by tenant: got %d to %d, want at most a factor of 1.1 between them", s.deployment.name, least, most)
	}
}

// p99 returns the p99 latency of quick requests in ms.
func (s *simulation) p99() float64 { return quantile(s.latencies[route.ClassQuick], 0.99) }

func (s *simulation) row() string {
	cell := func(class string) string {
		v := s.latencies[class]
		return fmt.Sprintf("%.0f/%.0f/%.0f", quantile(v, 0.5), quantile(v, 0.95), quantile(v, 0.99))
	}
	refused, all := 0, 0
	for _, n := range s.refused {
		refused += n
		all += n
	}
	for _, v := range s.latencies {
		all += len(v)
	}
	return fmt.Sprintf("| %s | %.2f | %s | %s | %s | %s | %.3f | %d |\n", s.deployment.name, s.load, s.strategy.name,
		cell(route.ClassUrgent), cell(route.ClassQuick), cell(route.ClassPatient), float64(refused)/float64(max(all, 1)), s.forwards)
}
