package core

import (
	"encoding/json"
	"strings"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
)

// Keys of the ledger's records. Those that end in a slash are prefixes,
// followed by a job ID. In the directory, keyInstance is followed by an instance
// name.
const (
	keySpec      = "j/"
	keyProgress  = "p/"
	keyCancel    = "c/"
	keyInstance  = "n/"
	keyLeader    = "leader"
	keyHeartbeat = "beat"
	keyEstimates = "learned"
	keyLoad      = "load"
)

// leaderProducer is the producer name that the appends of all leaders share.
const leaderProducer = "leader"

// claim is the record by which an instance claims or resigns leadership.
type claim struct {
	Term        int64  `json:"term"`
	Instance    string `json:"instance"`
	Incarnation string `json:"life"` // unique to the process
	Resigned    bool   `json:"resigned,omitempty"`
}

// instanceRecord is the record of the directory by which peers find an instance.
type instanceRecord struct {
	Addr        string `json:"addr"`
	Domain      string `json:"domain"`
	Incarnation string `json:"life"`
	Replica     bool   `json:"replica,omitempty"` // it holds the state of all jobs, or loads it
	Machine
}

func encodeRecord(key string, v any) (ledger.Record, error) {
	data, err := json.Marshal(v)
	return ledger.Record{Key: key, Value: data}, err
}

// splitKey splits a key after its first slash. A key without one is returned as
// the prefix.
func splitKey(key string) (prefix, name string) {
	if i := strings.IndexByte(key, '/'); i >= 0 {
		return key[:i+1], key[i+1:]
	}
	return key, ""
}
