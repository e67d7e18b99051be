package stream

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
)

// Keys of a stream's records. All but the snapshots share one, so that the store
// keeps beyond their expiry only the newest of them, and the newest snapshot.
const (
	keyRecord      = "record"
	prefixSnapshot = "snapshot/" // followed by the part's number
)

// Bounds of a snapshot: the store takes 256 KiB a record and 2 MiB a call, and
// the JSON form of bytes is a third longer than they are.
const (
	partBytes        = 128 << 10
	maxSnapshotBytes = 1400 << 10
	maxParts         = maxSnapshotBytes/partBytes + 1
)

// snapshotPart is one record of a snapshot. All parts of one are appended by one
// call, which the store carries out whole or not at all.
type snapshotPart struct {
	ID    string `json:"id"`    // the same for all parts
	Parts int    `json:"parts"` // their number
	Data  []byte `json:"data"`
}

func splitSnapshot(state []byte, id string) ([]ledger.Record, error) {
	if len(state) > maxSnapshotBytes {
		return nil, errors.Errorf("a snapshot of %d bytes is longer than %d", len(state), maxSnapshotBytes)
	}
	parts := max(1, (len(state)+partBytes-1)/partBytes)
	var records []ledger.Record
	for i := range parts {
		data, err := json.Marshal(snapshotPart{ID: id, Parts: parts, Data: state[i*partBytes : min(len(state), (i+1)*partBytes)]})
		if err != nil {
			return nil, errors.Wrap(err, "encode snapshot")
		}
		records = append(records, ledger.Record{Key: fmt.Sprint(prefixSnapshot, i), Value: data})
	}
	return records, nil
}

// newestSnapshot gives the state of the newest snapshot, nil if there is none.
// The answers to its reads are no snapshot of the store themselves, so the parts
// may be of two; that is an error, and reading again helps.
func newestSnapshot(ctx context.Context, log ledger.Log) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readSlack)
	defer cancel()
	parts := map[string]snapshotPart{}
	for after := ""; ; {
		page, err := log.Newest(ctx, after)
		if err != nil {
			return nil, err
		}
		for _, r := range page.Records {
			if !strings.HasPrefix(r.Key, prefixSnapshot) {
				continue
			}
			var p snapshotPart
			if err := json.Unmarshal(r.Value, &p); err != nil {
				return nil, errors.Wrapf(err, "decode %s", r.Key)
			}
			parts[r.Key] = p
		}
		if !page.More || page.LastKey == "" {
			break
		}
		after = page.LastKey
	}
	return joinSnapshot(parts)
}

func joinSnapshot(parts map[string]snapshotPart) ([]byte, error) {
	first, ok := parts[prefixSnapshot+"0"]
	if !ok {
		return nil, nil
	}
	if first.ID == "" || first.Parts < 1 || first.Parts > maxParts {
		return nil, errors.Errorf("snapshot %q has %d parts", first.ID, first.Parts)
	}
	var state []byte
	for i := range first.Parts {
		p := parts[fmt.Sprint(prefixSnapshot, i)]
		if p.ID != first.ID {
			return nil, errors.Errorf("part %d of snapshot %s is of snapshot %q", i, first.ID, p.ID)
		}
		state = append(state, p.Data...)
	}
	return state, nil
}
