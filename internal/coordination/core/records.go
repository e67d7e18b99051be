package core

import (
	"encoding/json"
	"strings"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
)

// Keys of records. Each is followed by a job's id or an instance's name.
const (
	keySpec     = "j/"
	keyProgress = "p/"
	keyCancel   = "c/"
	keyInstance = "n/"
	keyLeader   = "leader"
	keyBeat     = "beat"
	keyLearned  = "learned"
)

// leaderProducer is the name that the appends of all leaders share.
const leaderProducer = "leader"

// claim is the record of an instance that takes the lead or gives it up.
type claim struct {
	Term     int64  `json:"term"`
	Instance string `json:"instance"`
	Life     string `json:"life"` // of the process, unique
	Resigned bool   `json:"resigned,omitempty"`
}

// instance is the record under which an instance can be reached by its peers.
type instance struct {
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
	Life   string `json:"life"`
	Machine
}

func encodeRecord(key string, v any) (ledger.Record, error) {
	data, err := json.Marshal(v)
	return ledger.Record{Key: key, Value: data}, err
}

// splitKey gives the prefix of a key and the name after it.
func splitKey(key string) (prefix, name string) {
	if i := strings.IndexByte(key, '/'); i >= 0 {
		return key[:i+1], key[i+1:]
	}
	return key, ""
}
