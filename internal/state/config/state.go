package config

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
)

// HistoryVersions is the number of accepted versions that the state retains.
// Conflicts are found, patches can be based and old versions can be shown only
// within this span.
const HistoryVersions = 2048

// maxVerdicts is the number of verdicts retained to answer resends.
const maxVerdicts = 2 * HistoryVersions

// State is the configuration after the record at Offset. It is not safe for
// concurrent use.
type State struct {
	Version  uint64          `json:"version"` // number of accepted patches; 0 is the empty configuration
	Offset   int64           `json:"offset"`  // of the last record applied; -1 before the first
	Doc      json.RawMessage `json:"doc"`     // JSON with sorted keys
	Index    *Index          `json:"index"`
	History  []Change        `json:"history"`  // oldest first
	Verdicts []Verdict       `json:"verdicts"` // oldest first

	model    Model
	tree     map[string]any     // decoded Doc
	verdicts map[string]Verdict // Verdicts by patch ID
}

// NewState returns version 0, the empty configuration.
func NewState() *State {
	return &State{Offset: -1, Doc: json.RawMessage("{}"), Index: NewIndex(), tree: map[string]any{}, verdicts: map[string]Verdict{}}
}

// Model returns the typed form of the version in force.
func (s *State) Model() Model { return s.model }

// Snapshot returns the state encoded as JSON.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Load replaces the state by the snapshot in data. It returns an error and leaves
// the state unchanged if data can't be decoded, holds an invalid configuration or
// is older than the state, so that the version never decreases.
func (s *State) Load(data []byte) error {
	n := NewState()
	if err := json.Unmarshal(data, n); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	if n.Version < s.Version || n.Offset < s.Offset {
		return errors.Errorf("snapshot of version %d at offset %d is older than the state of version %d at offset %d", n.Version, n.Offset, s.Version, s.Offset)
	}
	model, err := ParseModel(n.Doc, "snapshot")
	if err != nil {
		return err
	}
	n.model = model
	if n.tree, err = decodeTree(n.Doc); err != nil {
		return errors.Wrap(err, "decode document")
	}
	for _, v := range n.Verdicts {
		n.verdicts[v.ID] = v
	}
	*s = *n
	return nil
}

// Apply applies the patch at the offset and returns its verdict. A patch whose ID
// has a retained verdict is a resend: it returns that verdict and does not change
// the configuration. A patch at or below Offset returns the retained verdict, or
// the zero Verdict if there is none.
func (s *State) Apply(offset int64, p Patch) Verdict {
	if offset <= s.Offset {
		return s.verdicts[p.ID]
	}
	s.Offset = offset
	if v, ok := s.verdicts[p.ID]; ok {
		return v
	}
	v := s.evaluate(p)
	s.storeVerdict(v)
	return v
}

// Verdict returns the verdict on the patch ID and whether it is retained.
func (s *State) Verdict(id string) (Verdict, bool) {
	v, ok := s.verdicts[id]
	return v, ok
}

func (s *State) storeVerdict(v Verdict) {
	s.verdicts[v.ID] = v
	s.Verdicts = append(s.Verdicts, v)
	if len(s.Verdicts) > maxVerdicts {
		delete(s.verdicts, s.Verdicts[0].ID)
		s.Verdicts = s.Verdicts[1:]
	}
}

// evaluate returns the verdict on a patch and applies the patch if it is accepted.
func (s *State) evaluate(p Patch) Verdict {
	v := Verdict{ID: p.ID, Version: s.Version}
	change, err := p.decode()
	if err != nil {
		return reject(v, ResultInvalid, err.Error())
	}
	if p.Base > s.Version {
		return reject(v, ResultInvalid, "the base version does not exist yet")
	}
	if p.Base+HistoryVersions < s.Version {
		return reject(v, ResultTooOld, "the base version is older than the remembered history")
	}
	paths := ChangedPaths(change)
	if s.findConflict(&v, paths, p.Base) {
		return v
	}
	return s.accept(v, p, change, paths)
}

func reject(v Verdict, result, reason string) Verdict {
	v.Result = result
	v.Reason = reason
	return v
}

// findConflict reports whether a path was changed after the base version. If so,
// it completes the verdict.
func (s *State) findConflict(v *Verdict, paths []string, base uint64) bool {
	for _, path := range paths {
		newest := s.Index.Newest(path)
		if newest <= base {
			continue
		}
		v.Paths = append(v.Paths, FormatPath(path))
		v.ConflictVersion = max(v.ConflictVersion, newest)
	}
	if len(v.Paths) == 0 {
		return false
	}
	v.Result = ResultConflict
	v.Reason = "another patch changed the same paths since the base version"
	if c, ok := s.Change(v.ConflictVersion); ok {
		v.ConflictPatchID = c.ID
	}
	return true
}

// accept applies the change to the tree and makes it the next version. If the
// result is invalid, the tree is reverted and the patch rejected.
func (s *State) accept(v Verdict, p Patch, change map[string]any, paths []string) Verdict {
	inverse := Inverse(s.tree, change)
	mergeTree(s.tree, change)
	doc, model, err := s.render(p.Operator)
	if err != nil {
		mergeTree(s.tree, inverse)
		return reject(v, ResultInvalid, err.Error())
	}
	encodedInverse, err := json.Marshal(inverse)
	if err != nil {
		mergeTree(s.tree, inverse)
		return reject(v, ResultInvalid, err.Error())
	}
	s.Version++
	s.Doc = doc
	s.model = model
	for _, path := range paths {
		s.Index.Add(path, s.Version)
	}
	s.History = append(s.History, Change{
		Version: s.Version, ID: p.ID, Operator: p.Operator, AtMs: p.AtMs, Change: p.Change, Inverse: encodedInverse, Paths: paths,
	})
	s.trimHistory()
	v.Result = ResultAccepted
	v.Version = s.Version
	return v
}

// render encodes the tree as a document and parses it into a model. Keys are
// sorted, so equal versions have equal bytes on every instance.
func (s *State) render(peer string) (json.RawMessage, Model, error) {
	doc, err := json.Marshal(s.tree)
	if err != nil {
		return nil, Model{}, err
	}
	model, err := ParseModel(doc, peer)
	return doc, model, err
}

// mergeTree applies a merge patch (RFC 7386) in place to a decoded document.
func mergeTree(target, change map[string]any) {
	for k, v := range change {
		inner, isObject := v.(map[string]any)
		switch {
		case v == nil:
			delete(target, k)
		case isObject:
			child, ok := target[k].(map[string]any)
			if !ok {
				child = map[string]any{}
				target[k] = child
			}
			mergeTree(child, inner)
		default:
			target[k] = v
		}
	}
}

// decodeTree decodes a JSON object and keeps numbers as written.
func decodeTree(doc []byte) (map[string]any, error) {
	d := json.NewDecoder(bytes.NewReader(doc))
	d.UseNumber()
	var tree map[string]any
	err := d.Decode(&tree)
	return tree, err
}

// trimHistory drops the oldest version if the history exceeds its limit.
func (s *State) trimHistory() {
	if len(s.History) <= HistoryVersions {
		return
	}
	oldest := s.History[0]
	for _, path := range oldest.Paths {
		s.Index.Remove(path, oldest.Version)
	}
	s.History = s.History[1:]
}

// Change returns the accepted change that produced the version and whether it is
// retained.
func (s *State) Change(version uint64) (Change, bool) {
	if len(s.History) == 0 || version < s.History[0].Version || version > s.Version {
		return Change{}, false
	}
	return s.History[version-s.History[0].Version], true
}

// DocumentAt returns the document of a retained version, computed by reverting the
// later versions. It returns an error if the version is newer than the newest or
// older than the history.
func (s *State) DocumentAt(version uint64) (json.RawMessage, error) {
	if version > s.Version {
		return nil, errors.Errorf("version %d does not exist; the newest is %d", version, s.Version)
	}
	tree, err := decodeTree(s.Doc)
	if err != nil {
		return nil, errors.Wrap(err, "decode document")
	}
	for v := s.Version; v > version; v-- {
		c, ok := s.Change(v)
		if !ok {
			return nil, errors.Errorf("version %d is older than the retained history", version)
		}
		inverse, err := decodeTree(c.Inverse)
		if err != nil {
			return nil, errors.Wrapf(err, "revert version %d", v)
		}
		mergeTree(tree, inverse)
	}
	return json.Marshal(tree)
}

// Skip advances Offset past a log entry that is not a patch.
func (s *State) Skip(offset int64) { s.Offset = max(s.Offset, offset) }
