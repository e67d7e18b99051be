package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/testing/world"
)

// minionCrashes returns how many times requests have crashed minions.
func minionCrashes(w *world.Simulation) int {
	n := 0
	for _, m := range w.Minions {
		n += m.Crashes()
	}
	return n
}

// TestRequestThatCrashesItsMinionsIsNotSentToAThird guards against an idempotent
// request that crashes one minion after the other, since a crash is no answer.
// At each instance, with minions of its own or of its peers.
func TestRequestThatCrashesItsMinionsIsNotSentToAThird(t *testing.T) {
	cfg := requestConfig
	cfg.Instances = 2
	cfg.Minions = 12
	world.Run(t, cfg, func(w *world.Simulation) {
		is := is.NewRelaxed(w.T)
		for _, inst := range w.Instances() {
			for range 2 {
				before := minionCrashes(w)
				resp := w.SendRequest(world.Request{Instance: inst.Name, Idempotent: true, Crash: true, Body: "deadly"})
				is.Equal(resp.Outcome, "unknown")
				is.Equal(resp.Code, "minions-lost")
				is.Equal(minionCrashes(w)-before, 2)
				time.Sleep(8 * time.Second) // the minions are back
				is.Equal(w.SendRequest(world.Request{Instance: inst.Name, Idempotent: true, Body: "good"}).Outcome, "answered")
			}
		}
	})
}

// TestRequestsBesideCrashingOnesAreAnswered guards against requests that are
// given up because another request crashed the minions under them.
func TestRequestsBesideCrashingOnesAreAnswered(t *testing.T) {
	world.Run(t, requestConfig, func(w *world.Simulation) {
		is := is.NewRelaxed(w.T)
		stop := make(chan struct{})
		waitResponses := startLoad(w, 12, world.Request{Idempotent: true, WorkTime: 200 * time.Millisecond, Class: "quick"}, stop)
		time.Sleep(2 * time.Second)
		for _, inst := range w.Instances() {
			for range 3 {
				resp := w.SendRequest(world.Request{Instance: inst.Name, Idempotent: true, Crash: true, Body: "deadly"})
				is.Equal(resp.Outcome, "unknown")
				time.Sleep(8 * time.Second) // the minions are back
			}
		}
		close(stop)
		outcomes := countOutcomes(waitResponses())
		w.T.Log(outcomes, minionCrashes(w))
		is.True(outcomes["answered "] > 1000)
		is.Equal(len(outcomes), 1)     // all of them
		is.Equal(minionCrashes(w), 18) // two for each of the nine
	})
}

// TestMinionsThatStopOrAreCutOffDontCountAsLost guards against requests that are
// given up although no minion was lost under them.
func TestMinionsThatStopOrAreCutOffDontCountAsLost(t *testing.T) {
	faults := map[string]func(w *world.Simulation){
		"leaving": func(w *world.Simulation) {
			w.Minions["sfax-m1"].SetLeaving(true)
			w.Minions["sfax-m2"].SetLeaving(true)
			w.Minions["sfax-m3"].SetLeaving(true)
		},
		"silent": func(w *world.Simulation) {
			for range 5 {
				for _, m := range w.Minions {
					m.SilenceOpenConnections()
				}
				time.Sleep(time.Second)
			}
		},
		"instance-killed": func(w *world.Simulation) { w.Kill(w.OtherInstance("sfax", w.Leader("sfax"))) },
		"instance-cut-off": func(w *world.Simulation) {
			w.Net.Partition("sfax-e1", "sfax-e2")
			time.Sleep(3 * time.Second)
			w.Net.Heal("sfax-e1", "sfax-e2")
		},
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			world.Run(t, requestConfig, func(w *world.Simulation) {
				is := is.NewRelaxed(w.T)
				stop := make(chan struct{})
				waitResponses := startLoad(w, 12, world.Request{Idempotent: true, WorkTime: 200 * time.Millisecond}, stop)
				time.Sleep(2 * time.Second)
				inject(w)
				time.Sleep(10 * time.Second)
				close(stop)
				outcomes := countOutcomes(waitResponses())
				w.T.Log(outcomes)
				is.Equal(outcomes["unknown minions-lost"], 0)
			})
		})
	}
}
