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
