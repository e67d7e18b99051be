package flow

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/state/strict"
)

// maxSpecBytes is more than EncodeSpec returns for any valid job: MaxSteps steps with
// three texts each and the payload, whose bytes JSON may escape by six.
const maxSpecBytes = 512 << 10

// Indexes are numbers of steps, decoded no further than one beyond the most that a
// step can have, which Spec.Check then reports.
type Indexes []int

// UnmarshalJSON implements json.Unmarshaler.
func (x *Indexes) UnmarshalJSON(data []byte) error {
	if bytes.Count(data, []byte(",")) < MaxSteps {
		return json.Unmarshal(data, (*[]int)(x))
	}
	*x = nil
	return strict.Elements(data, MaxSteps+1, false, func(d *json.Decoder) error {
		*x = append(*x, 0)
		return d.Decode(&(*x)[len(*x)-1])
	})
}

// forwardedSpec is a spec of which no more steps are decoded than one beyond
// MaxSteps. Its Steps take the place of those of Spec.
type forwardedSpec struct {
	Spec
	Steps forwardedSteps `json:"steps"`
}

type forwardedSteps []Step

// UnmarshalJSON implements json.Unmarshaler.
func (s *forwardedSteps) UnmarshalJSON(data []byte) error {
	*s = nil
	return strict.Elements(data, MaxSteps+1, false, func(d *json.Decoder) error {
		*s = append(*s, Step{})
		return d.Decode(&(*s)[len(*s)-1])
	})
}

// DecodeForwarded is DecodeSpec for bytes that need not come from EncodeSpec. It takes
// no more memory than a few times maxSpecBytes.
func DecodeForwarded(data []byte) (*Spec, error) {
	if len(data) > maxSpecBytes {
		return nil, errors.Errorf("the job has %d bytes, at most %d are allowed", len(data), maxSpecBytes)
	}
	s := &forwardedSpec{}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, err
	}
	s.Spec.Steps = s.Steps
	s.Limit()
	return &s.Spec, s.Check()
}
