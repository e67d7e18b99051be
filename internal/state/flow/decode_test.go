package flow

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestForwardedJobsAreDecodedInPart guards against jobs of other processes that take
// many times their size when they are decoded.
func TestForwardedJobsAreDecodedInPart(t *testing.T) {
	is := is.New(t)
	valid := &Spec{ID: "a", Payload: strings.Repeat("\x00", MaxPayloadBytes), Policy: Policy{Service: "svc"}}
	text := strings.Repeat("\x00", MaxTextBytes)
	for i := range MaxSteps {
		st := Step{Count: 1, Label: text, DataRack: text, Image: text}
		for before := range i {
			st.After = append(st.After, before)
		}
		valid.Steps = append(valid.Steps, st)
	}
	data, err := EncodeSpec(valid)
	is.NoErr(err)
	is.True(len(data) <= maxSpecBytes) // the largest valid job is below the limit
	decoded, err := DecodeForwarded(data)
	is.NoErr(err)
	is.Equal(decoded, valid)

	s, err := DecodeForwarded([]byte(`{"id":"a","steps":[` + strings.Repeat("{},", 100_000) + `{}]}`))
	is.True(err != nil)
	is.Equal(len(s.Steps), MaxSteps+1)
	s, err = DecodeForwarded([]byte(`{"id":"a","steps":[{"count":1,"after":[` + strings.Repeat("0,", 200_000) + `0]}]}`))
	is.True(err != nil)
	is.Equal(len(s.Steps[0].After), MaxSteps+1)
	_, err = DecodeForwarded([]byte(`{"id":"` + strings.Repeat("a", maxSpecBytes) + `"}`))
	is.True(err != nil)
}
