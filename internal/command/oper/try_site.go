package oper

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/standin/sites"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Size of the site that try runs.
const (
	trySiteInstances = 3
	trySiteWorkers   = 4
	trySiteService   = "stringdesk"
)

// platformSite checks that a chain of steps, a gang and a scheduled job complete
// although the leader is killed while tasks run.
func (t *trial) platformSite(ctx context.Context) error {
	s := sites.New(sites.Config{
		Service: trySiteService, Workers: trySiteWorkers, Capacity: work.Size{CPU: 32000, Memory: 128 << 10}, Logger: t.logger,
		Queues: []flow.Queue{
			{Name: "quotes", Policy: flow.Policy{Service: trySiteService, MaxAttempts: 3, Stretch: 1.5, SlackMs: 250}},
			{Name: "profiles", Policy: flow.Policy{Service: trySiteService, Priority: 1, MaxAttempts: 2, Stretch: 2.2, SlackMs: 1000}},
		},
	})
	defer s.Close()
	for i := range trySiteInstances {
		s.Start(fmt.Sprintf("edge-%d", i))
	}
	if err := t.waitFor(ctx, "the site has a leader", func() bool { return s.Leader() != "" }); err != nil {
		return err
	}
	size := work.Size{CPU: 4000, Memory: 4096}
	timed := s.NewJob("timed", "quotes", flow.Step{Count: 1, Size: size, EstimateMs: 50})
	timed.Repeat = flow.Repeat{Times: 3, FirstStartMs: time.Now().UnixMilli() + 300, IntervalMs: 200}
	jobs := []*flow.Spec{
		timed,
		s.NewJob("quote", "quotes", flow.Step{Count: 2, Size: size, EstimateMs: 100}),
		s.NewJob("chain", "profiles", flow.Step{Count: 4, Size: size, EstimateMs: 100}, flow.Step{Count: 2, Size: size, EstimateMs: 100, After: []int{0}}),
		s.NewJob("gang", "profiles", flow.Step{Count: 8, Size: size, EstimateMs: 300, Gang: true}),
		s.NewJob("survivor", "profiles", flow.Step{Count: 6, Size: size, EstimateMs: 1500}),
	}
	for _, sp := range jobs {
		if err := s.Submit(s.Leader(), sp); err != nil {
			return errors.Wrapf(err, "submit %s", sp.ID)
		}
	}
	old := s.Leader()
	if err := t.waitFor(ctx, "the long tasks have started", func() bool { return s.Fleet.RunStarts() >= 20 }); err != nil {
		return err
	}
	s.Kill(old)
	for _, sp := range jobs {
		if err := t.waitFor(ctx, "completion of job "+sp.ID, func() bool { return s.ReportedByAll(sp.ID, flow.Complete.String()) }); err != nil {
			return err
		}
	}
	t.expect(s.Leader() != old, "leader after %s was killed: got the same instance, want another", old)
	t.expect(s.Fleet.RunStarts() == 2+6+8+3+6, "task starts: got %d, want 25, one for each task", s.Fleet.RunStarts())
	for _, b := range s.Fleet.Violations() {
		t.expect(false, "%s", b)
	}
	return nil
}
