package wire

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
)

func TestDecodeRecords(t *testing.T) {
	tests := []struct {
		name, body string
		want       []ledger.Record
		err        string
	}{
		{name: "empty"},
		{name: "two records", body: "\x00\x00\x00\x04\x01kvv\x00\x00\x00\x02\x01k", want: []ledger.Record{{Key: "k", Value: []byte("vv")}, {Key: "k"}}},
		{name: "empty key", body: "\x00\x00\x00\x02\x00v", want: []ledger.Record{{Value: []byte("v")}}},
		{name: "short length", body: "\x00\x00\x00", err: "record is truncated"},
		{name: "short record", body: "\x00\x00\x00\x04\x01kv", err: "record is truncated"},
		{name: "long key", body: "\x00\x00\x00\x02\x02k", err: "key is longer than its record"},
		{name: "length 0 at the end", body: "\x00\x00\x00\x00", err: "record has no key length"},
		{name: "length 0 before a record", body: "\x00\x00\x00\x00\x00\x00\x00\x02\x01k", err: "record has no key length"},
		{name: "length 0 before a byte", body: "\x00\x00\x00\x00\x01", err: "record has no key length"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, err := DecodeRecords([]byte(tt.body))
			if tt.err != "" {
				is.True(err != nil)
				is.Equal(err.Error(), tt.err)
				return
			}
			is.NoErr(err)
			is.Equal(got, tt.want)
		})
	}
}
