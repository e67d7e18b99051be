package config

import (
	"encoding/json"
	"fmt"

	"github.com/tamaracklink/tamaracklink/internal/state/errs"
	"github.com/tamaracklink/tamaracklink/internal/state/strict"
)

// Results of a patch, as stored in its verdict.
const (
	ResultAccepted = "accepted"
	ResultConflict = "conflict" // another patch has changed one of the paths since the base version
	ResultInvalid  = "invalid"  // the patch can't be decoded, or the configuration after it would be invalid
	ResultTooOld   = "too-old"  // the base version is older than the retained history
)

// Patch is a record of the configuration stream: an operator's change of the
// configuration.
type Patch struct {
	ID       string          `json:"id"` // chosen by the sender; the same in every resend
	Operator string          `json:"operator"`
	Base     uint64          `json:"base"`       // version that the operator started from
	AtMs     int64           `json:"at-unix-ms"` // by the clock of the instance that appended it; for people only
	Change   json.RawMessage `json:"change"`     // RFC 7386 merge patch
}

// Verdict is the result of applying a patch.
type Verdict struct {
	ID              string   `json:"id"`
	Result          string   `json:"result"`
	Version         uint64   `json:"version"`           // version that the patch became, or in force when rejected
	ConflictVersion uint64   `json:"against,omitempty"` // newest version that conflicts with the patch
	ConflictPatchID string   `json:"with,omitempty"`    // ID of the patch that became ConflictVersion
	Paths           []string `json:"paths,omitempty"`   // conflicting paths in dotted form, for people
	Reason          string   `json:"reason,omitempty"`
}

// Change is an accepted patch in the history.
type Change struct {
	Version  uint64          `json:"version"`
	ID       string          `json:"id"`
	Operator string          `json:"operator"`
	AtMs     int64           `json:"at-unix-ms"`
	Change   json.RawMessage `json:"change"`
	Inverse  json.RawMessage `json:"reverse"` // merge patch that reverts Change
	Paths    []string        `json:"paths"`
}

// Check returns an error that lists every fault of the patch that can be found
// without the configuration, or nil. Peer is the party named in the errors.
func (p Patch) Check(peer string) error {
	const step = "check patch"
	l := &errs.List{}
	if p.ID == "" || len(p.ID) > maxIDBytes {
		l.Add(errs.Error{Step: step, Peer: peer, Path: "id", Value: p.ID, Allowed: fmt.Sprintf("1 to %d bytes", maxIDBytes)})
	}
	if p.Operator == "" || len(p.Operator) > maxIDBytes {
		l.Add(errs.Error{Step: step, Peer: peer, Path: "operator", Value: p.Operator, Allowed: fmt.Sprintf("1 to %d bytes", maxIDBytes)})
	}
	if len(p.Change) > MaxPatchBytes {
		l.Add(errs.Error{Step: step, Peer: peer, Path: "change", Value: fmt.Sprint(len(p.Change)), Allowed: fmt.Sprintf("at most %d bytes", MaxPatchBytes)})
		return l.Err() // its values take much more memory than its bytes
	}
	if _, err := p.decode(); err != nil {
		l.Add(errs.Error{Step: step, Peer: peer, Path: "change", Allowed: "a JSON object (merge patch) with at least one key", Err: err})
	}
	return l.Err()
}

const maxIDBytes = 128

// decode decodes Change. State stores the text of the error in a verdict.
func (p Patch) decode() (map[string]any, error) {
	if err := strict.Check(p.Change); err != nil {
		return nil, err
	}
	change, err := decodeTree(p.Change)
	if err != nil {
		return nil, err
	}
	if len(change) == 0 {
		return nil, &errs.Error{Step: "decode change", Value: string(p.Change), Allowed: "at least one key"}
	}
	return change, nil
}
