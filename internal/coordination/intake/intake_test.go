package intake_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/coordination/intake"
	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
)

// run runs body with a store and an Intake on it, in virtual time. The last
// minute lets the store finish late appends.
func run(t *testing.T, body func(s *store.Store, n *intake.Intake)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := store.New(5)
		n := intake.New(intake.Settings{Log: s.Log("a"), Name: "a", Now: time.Now, OnUnanswered: func(error, int) {}, LastAnswer: func() time.Time { return time.Time{} }})
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			n.Run(ctx)
		}()
		body(s, n)
		stop()
		<-done
		time.Sleep(time.Minute)
	})
}

func put(n *intake.Intake, key string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return n.Store(ctx, ledger.Record{Key: key, Value: []byte("v")})
}

// TestConcurrentCallsShareAppends guards against one append per call: calls
// that arrive while an append is under way must go out together in the next
// one.
func TestConcurrentCallsShareAppends(t *testing.T) {
	run(t, func(s *store.Store, n *intake.Intake) {
		is := is.New(t)
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				if err := put(n, fmt.Sprint(i), time.Second); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		is.True(s.AppendCount() <= 3)
		is.True(n.Healthy())
	})
}

// TestStoreResultIsTrueUnderFaults guards against false results: under each
// kind of store fault, records of a refused call must not be stored, and
// records reported as stored must be. After the fault the intake must work
// again.
func TestStoreResultIsTrueUnderFaults(t *testing.T) {
	for _, fault := range []store.Fault{store.Unresponsive, store.Refusing, store.LosingAnswers, store.DelayingAppends} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			run(t, func(s *store.Store, n *intake.Intake) {
				got := map[string]error{}
				var mu sync.Mutex
				s.SetFault("a", fault)
				var wg sync.WaitGroup
				for i := range 60 {
					wg.Go(func() {
						key := fmt.Sprint(i)
						err := put(n, key, 800*time.Millisecond)
						mu.Lock()
						defer mu.Unlock()
						got[key] = err
					})
					time.Sleep(50 * time.Millisecond)
				}
				wg.Wait()
				s.SetFault("a", store.NoFault)
				time.Sleep(10 * time.Second)
				for key, err := range got {
					stored := s.NewestValue(key) != nil
					switch {
					case err == nil && !stored:
						t.Errorf("key %s: Store reported success, but the record is not stored", key)
					case errors.Is(err, intake.ErrNotStored) && stored:
						t.Errorf("key %s: Store refused the record, but it is stored", key)
					}
				}
				if err := put(n, "after", time.Second); err != nil {
					t.Errorf("Store after the fault: got error %v, want nil", err)
				}
				if !n.Healthy() {
					t.Error("Healthy after the fault: got false, want true")
				}
			})
		})
	}
}

// TestHealthRecoversWithoutCalls guards against an instance that stays
// unhealthy for ever after a failed append: since it gets no more calls, no
// append can show that the store has recovered.
func TestHealthRecoversWithoutCalls(t *testing.T) {
	run(t, func(s *store.Store, n *intake.Intake) {
		is := is.New(t)
		s.SetFault("a", store.Refusing)
		is.True(errors.Is(put(n, "x", time.Second), intake.ErrNotStored))
		is.True(!n.Healthy())
		s.SetFault("a", store.NoFault)
		time.Sleep(1100 * time.Millisecond)
		is.True(n.Healthy())
	})
}
