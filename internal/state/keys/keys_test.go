package keys_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/keys"
)

var strict = keys.Bounds{Strict: true, Revoke: 5 * time.Second, Apply: 3 * time.Second}

func config(customers ...flow.Customer) *flow.Config {
	return &flow.Config{CustomersOn: true, Customers: customers, Queues: []flow.Queue{{Name: "keyed"}, {Name: "open", Open: true}}}
}

// TestDecide guards against a wrong outcome for a key on either side of a limit of
// the proof's age.
func TestDecide(t *testing.T) {
	red := flow.Customer{Name: "red", Keys: []string{"r1", ""}}
	blue := flow.Customer{Name: "blue", Keys: []string{"b1"}}
	const none, now = -1, time.Hour // age without a proof
	for _, tt := range []struct {
		name, queue, key string
		age              time.Duration
		bounds           keys.Bounds
		want             keys.Outcome
		customer         string
		mayBe            bool
	}{
		{"known", "keyed", "b1", 4*time.Second - 1, strict, keys.Accepted, "blue", false},
		{"known, old proof", "keyed", "b1", 4 * time.Second, strict, keys.Unproven, "", false},
		{"known, no proof", "keyed", "b1", none, strict, keys.Unproven, "", false},
		{"known, not strict", "keyed", "b1", none, keys.Bounds{Apply: 3 * time.Second}, keys.Accepted, "blue", false},
		{"unknown", "keyed", "x", 2400*time.Millisecond - 1, strict, keys.Unauthorized, "", false},
		{"unknown, old proof", "keyed", "x", 2400 * time.Millisecond, strict, keys.Unproven, "", false},
		{"unknown, old proof, not strict", "keyed", "x", time.Minute, keys.Bounds{Apply: 3 * time.Second}, keys.Unproven, "", false},
		{"unknown, strict without apply bound", "keyed", "x", 4 * time.Second, keys.Bounds{Strict: true, Revoke: 5 * time.Second}, keys.Unproven, "", false},
		{"unknown, no bounds", "keyed", "x", none, keys.Bounds{}, keys.Unauthorized, "", false},
		{"missing", "keyed", "", none, strict, keys.Unauthorized, "", false},
		{"clock failed", "keyed", "b1", now - 2*time.Hour, strict, keys.Unproven, "", false},
		{"open", "open", "", none, strict, keys.Open, "", false},
		{"open, known", "open", "b1", 0, strict, keys.Open, "blue", false},
		{"open, unknown", "open", "x", 0, strict, keys.Open, "", false},
		{"open, old proof", "open", "b1", none, strict, keys.Open, "", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := &keys.View{Table: keys.NewTable(config(red, blue)), Proof: keys.Proof{Valid: tt.age != none, SentAt: now - tt.age}}
			d := v.Decide(v.Config.Queue(tt.queue), tt.key, now, tt.bounds)
			is.Equal(d.Outcome, tt.want)
			is.Equal(d.MayBeCustomer, tt.mayBe)
			is.Equal(d.Caller(v.Config), keys.Caller{Customer: tt.customer, Check: true})
		})
	}
	off := &keys.View{Table: keys.NewTable(&flow.Config{})}
	is.New(t).Equal(off.Decide(&flow.Queue{}, "x", now, strict), keys.Decision{Outcome: keys.Open})
}

// TestLeaseHoldsInEveryOrder guards against a request that is executed although it
// was sent later than the bound after the removal of its key, and against one that
// is answered 401 although it was sent later than the bound after the addition of
// its key. Two reads, a change and a request make their steps in any order, with
// a freeze before each step.
func TestLeaseHoldsInEveryOrder(t *testing.T) {
	with, without := keys.NewTable(config(flow.Customer{Name: "red", Keys: []string{"r"}})), keys.NewTable(config())
	freezes := []time.Duration{0, 0, 0, 0, 1, 700 * time.Millisecond, 2400*time.Millisecond - 1, 3*time.Second + 1, 4*time.Second - 1, 5*time.Second + 1}
	steps := []string{"change", "read", "read", "read", "read", "read", "read", "request", "request", "request"}
	oneOrder := func(t *rapid.T) {
		tables := []*keys.Table{with, without}
		if rapid.Bool().Draw(t, "key is added") {
			tables = []*keys.Table{without, with}
		}
		now, version, read, done := time.Hour, 0, 0, map[string]int{}
		var changedAt, sentAt, readSentAt time.Duration
		view := &keys.View{Table: tables[0], Proof: keys.Proof{Valid: true, SentAt: now}}
		loaded := view
		for _, step := range rapid.Permutation(steps).Draw(t, "steps") {
			now += rapid.SampledFrom(freezes).Draw(t, "freeze")
			done[step]++
			switch fmt.Sprint(step, done[step]%3) {
			case "change1":
				version, changedAt = 1, now
			case "read1":
				readSentAt = now
			case "read2":
				read = version
			case "read0":
				view = &keys.View{Table: tables[read], Proof: keys.Proof{Valid: true, SentAt: readSentAt}}
			case "request1":
				sentAt = now
			case "request2":
				loaded = view
			case "request0":
				outcome, age := loaded.Decide(&flow.Queue{}, "r", now, strict).Outcome, sentAt-changedAt
				if version == 1 && (outcome == keys.Accepted && tables[1] == without && age > strict.Revoke || outcome == keys.Unauthorized && tables[1] == with && age > strict.Apply) {
					t.Fatalf("request sent %v after the change: %v", age, outcome)
				}
			}
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		for range 50 {
			oneOrder(t)
		}
	})
}
