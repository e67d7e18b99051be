package flows

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/transport/guard"
)

// TestJobsAreReadStrictlyAndInPart guards against steps that are decoded beyond
// the limit, and against unknown fields that pass because steps are decoded by
// themselves.
func TestJobsAreReadStrictlyAndInPart(t *testing.T) {
	is := is.New(t)
	read := func(body string) (*flow.Spec, int, error) {
		return (&Server{}).readJob(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/flows", strings.NewReader(body)))
	}
	spec, _, err := read(`{"id":"a","queue":"q","steps":[{"count":1},{"count":2,"after":[0]}]}`)
	is.NoErr(err)
	is.Equal(spec.Steps, []flow.Step{{Count: 1}, {Count: 2, After: []int{0}}})
	is.Equal(spec.Queue, "q")

	spec, _, err = read(`{"id":"a","queue":"q","steps":[` + strings.Repeat("{},", 87000) + `{}]}`)
	is.NoErr(err)
	is.Equal(len(spec.Steps), flow.MaxSteps+1) // which Check refuses
	is.True(spec.Check() != nil)

	for _, bad := range []string{`{"steps":[{"cuont":1}]}`, `{"stpes":[]}`, `{"steps":[{"count":1,"count":2}]}`, `{"steps":{}}`, `{"steps":[{}]`} {
		_, status, err := read(bad)
		is.True(err != nil)
		is.Equal(status, http.StatusBadRequest)
	}
}

// TestPanicGivesDecoderBack guards against panics after which no body is decoded
// any more.
func TestPanicGivesDecoderBack(t *testing.T) {
	is := is.New(t)
	s := &Server{Decoders: make(guard.Slots, 1)}
	func() {
		defer func() { is.True(recover() != nil) }()
		s.submitJob(httptest.NewRecorder(), &http.Request{}, nil) // without a body
	}()
	is.Equal(len(s.Decoders), 0)
}
