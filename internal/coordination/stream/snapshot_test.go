package stream

import (
	"bytes"
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
)

// TestSnapshot checks that snapshots of any length come back whole, that the
// newest counts, and that parts of two are told.
func TestSnapshot(t *testing.T) {
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
		is.NoErr(add(context.Background(), log, records))
		return records
	}
	for i, n := range []int{10, partBytes, 5*partBytes + 7, 0, 3 * partBytes, maxSnapshotBytes} {
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
	torn := put(make([]byte, 2*partBytes), "torn")
	is.NoErr(add(context.Background(), log, []ledger.Record{{Key: torn[1].Key, Value: []byte(`{"id":"other"}`)}}))
	_, err = newestSnapshot(context.Background(), log)
	is.True(err != nil)
}

// FuzzSnapshot feeds records of other writers: they are told or give a state of
// bounded size.
func FuzzSnapshot(f *testing.F) {
	f.Add([]byte(`{"id":"a","parts":2,"data":"aGk="}`), []byte(`{"id":"a","parts":2,"data":"aGk="}`))
	f.Add([]byte(`{"parts":1000000000}`), []byte(`{}`))
	f.Add([]byte(`{"id":"a","parts":-1}`), []byte("\x00"))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		s := store.New(1)
		log := s.Log("x")
		if len(first) == 0 || len(second) == 0 {
			return
		}
		records := []ledger.Record{{Key: prefixSnapshot + "0", Value: first}, {Key: prefixSnapshot + "1", Value: second}}
		if err := add(context.Background(), log, records); err != nil {
			t.Fatal(err)
		}
		state, err := newestSnapshot(context.Background(), log)
		if err == nil && len(state) > len(first)+len(second) {
			t.Errorf("a state of %d bytes from records of %d and %d", len(state), len(first), len(second))
		}
	})
}
