package stream

import (
	"bytes"
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
)

// TestSnapshotRoundTrip guards against truncated and mixed states: a snapshot
// of any length up to the limit is read back unchanged, the newest one is read
// even if it has fewer parts than the one before, a longer one is refused, and
// parts that belong to two snapshots are an error.
func TestSnapshotRoundTrip(t *testing.T) {
	is := is.New(t)
	s := store.New(1)
	log := s.Log("x")
	got, err := newestSnapshot(context.Background(), log)
	is.NoErr(err)
	is.Equal(got, nil)
	put := func(state []byte, id string) []ledger.Record {
		t.Helper()
		records, err := splitSnapshot(state, id)
		is.NoErr(err)
		is.NoErr(appendRecords(context.Background(), log, records))
		return records
	}
	for i, n := range []int{10, maxPartBytes, 5*maxPartBytes + 7, 0, 3 * maxPartBytes, maxSnapshotBytes} {
		state := bytes.Repeat([]byte{byte(i + 1)}, n)
		for _, r := range put(state, string(rune('a'+i))) {
			is.True(len(r.Value) <= 256<<10)
		}
		got, err = newestSnapshot(context.Background(), log)
		is.NoErr(err)
		is.True(bytes.Equal(got, state))
	}
	_, err = splitSnapshot(make([]byte, maxSnapshotBytes+1), "long")
	is.True(err != nil)
	torn := put(make([]byte, 2*maxPartBytes), "torn")
	is.NoErr(appendRecords(context.Background(), log, []ledger.Record{{Key: torn[1].Key, Value: []byte(`{"id":"other"}`)}}))
	_, err = newestSnapshot(context.Background(), log)
	is.True(err != nil)
}

// FuzzNewestSnapshotBoundsState guards against snapshot records with arbitrary
// content, such as an excessive number of parts: they must lead to an error
// or to a state that is not longer than the records.
func FuzzNewestSnapshotBoundsState(f *testing.F) {
	f.Add([]byte(`{"id":"a","parts":2,"data":"aGk="}`), []byte(`{"id":"a","parts":2,"data":"aGk="}`))
	f.Add([]byte(`{"parts":1000000000}`), []byte(`{}`))
	f.Add([]byte(`{"id":"a","parts":-1}`), []byte("\x00"))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		s := store.New(1)
		log := s.Log("x")
		if len(first) == 0 || len(second) == 0 {
			return
		}
		records := []ledger.Record{{Key: snapshotPrefix + "0", Value: first}, {Key: snapshotPrefix + "1", Value: second}}
		if err := appendRecords(context.Background(), log, records); err != nil {
			t.Fatal(err)
		}
		state, err := newestSnapshot(context.Background(), log)
		if err == nil && len(state) > len(first)+len(second) {
			t.Errorf("got a state of %d bytes, want at most the bytes of the records, %d + %d", len(state), len(first), len(second))
		}
	})
}
