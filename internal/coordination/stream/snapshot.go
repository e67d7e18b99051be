package stream

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
)

// Keys of a stream's records. The store retains the newest record of each key
// beyond its expiry. All records but the parts of snapshots share one key, so
// that it retains only the newest of them and the newest snapshot.
const (
	recordKey      = "record"
	snapshotPrefix = "snapshot/" // followed by the part's number
)

// Limits of a snapshot. The store accepts 256 KiB per record and 2 MiB per
// call, and the JSON encoding makes the data a third longer.
const (
	maxPartBytes     = 128 << 10
	maxSnapshotBytes = 1400 << 10
	maxParts         = maxSnapshotBytes/maxPartBytes + 1
)

// snapshotPart is one record of a snapshot. All parts of a snapshot are
// appended by one call, which the store carries out completely or not at all.
type snapshotPart struct {
	ID    string `json:"id"`    // of the snapshot
	Parts int    `json:"parts"` // number of parts of the snapshot
	Data  []byte `json:"data"`
}

// splitSnapshot returns the records of a snapshot of the state.
func splitSnapshot(state []byte, id string) ([]ledger.Record, error) {
	if len(state) > maxSnapshotBytes {
		return nil, errors.Errorf("snapshot has %d bytes, limit is %d", len(state), maxSnapshotBytes)
	}
	parts := max(1, (len(state)+maxPartBytes-1)/maxPartBytes)
	var records []ledger.Record
	for i := range parts {
		data, err := json.Marshal(snapshotPart{ID: id, Parts: parts, Data: state[i*maxPartBytes : min(len(state), (i+1)*maxPartBytes)]})
		if err != nil {
			return nil, errors.Wrap(err, "encode snapshot")
		}
		records = append(records, ledger.Record{Key: fmt.Sprint(snapshotPrefix, i), Value: data})
	}
	return records, nil
}

// newestSnapshot returns the state of the newest snapshot, or nil if there is
// none. It reads the store page by page while others append, so the parts may
// belong to two snapshots. That is an error; the caller should retry.
func newestSnapshot(ctx context.Context, log ledger.Log) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeoutMargin)
	defer cancel()
	parts := map[string]snapshotPart{}
	for after := ""; ; {
		page, err := log.ReadNewest(ctx, after)
		if err != nil {
			return nil, err
		}
		for _, r := range page.Records {
			if !strings.HasPrefix(r.Key, snapshotPrefix) {
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

// joinSnapshot returns the state from the parts of a snapshot, by record key.
func joinSnapshot(parts map[string]snapshotPart) ([]byte, error) {
	first, ok := parts[snapshotPrefix+"0"]
	if !ok {
		return nil, nil
	}
	if first.ID == "" || first.Parts < 1 || first.Parts > maxParts {
		return nil, errors.Errorf("snapshot %q: ID is empty or number of parts %d is out of range", first.ID, first.Parts)
	}
	var state []byte
	for i := range first.Parts {
		p := parts[fmt.Sprint(snapshotPrefix, i)]
		if p.ID != first.ID {
			return nil, errors.Errorf("part %d of snapshot %s belongs to snapshot %q", i, first.ID, p.ID)
		}
		state = append(state, p.Data...)
	}
	return state, nil
}
