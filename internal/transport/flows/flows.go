package flows

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/state/errs"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/strict"
)

const (
	maxBody = 1 << 20 // bytes of a submitted job
	// retryAfter is told with a refusal.
	retryAfter = time.Second
)

// Server answers callers and operators.
type Server struct {
	Core *core.Core
	Now  func() time.Time
}

// JobView is the answer about a job.
type JobView struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	State string `json:"state"`
}

// QueueView is the answer about a queue.
type QueueView struct {
	Queue   string `json:"queue"`
	Pending int    `json:"pending"` // accepted jobs of which nothing has started
}

// SiteView is the answer about the instance.
type SiteView struct {
	Version int64    `json:"config-version"`
	Ready   bool     `json:"ready"`
	Leads   bool     `json:"leads"`
	Queues  []string `json:"queues"`
}

type problem struct {
	Code         string   `json:"code"`
	Errors       []string `json:"errors"`
	RetryAfterMs int64    `json:"retry-after-ms,omitempty"`
}

// Codes of problems.
const (
	codeBad     = "bad-request"
	codeNotRun  = "not-run"
	codeUnknown = "outcome-unknown"
	codeNoJob   = "no-such-job"
	codeNoQueue = "no-such-queue"
)

func bad(err error) problem {
	return problem{Code: codeBad, Errors: strings.Split(err.Error(), "\n")}
}

// Register adds the interface's paths to a router.
func (s *Server) Register(m *httprouter.Router) {
	m.POST("/flows", s.submit)
	m.GET("/flows/:id", s.show)
	m.DELETE("/flows/:id", s.cancel)
	m.GET("/queues/:name", s.queue)
	m.GET("/site", s.site)
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		answer(w, http.StatusRequestEntityTooLarge, bad(err))
		return
	}
	spec := &flow.Spec{}
	if err := strict.Decode(body, spec); err != nil {
		answer(w, http.StatusBadRequest, bad(errs.At("read job", "caller", err)))
		return
	}
	conf := s.Core.Config()
	if conf == nil {
		s.fail(w, core.ErrNotRun)
		return
	}
	q := conf.Queue(spec.Queue)
	if q == nil {
		answer(w, http.StatusBadRequest, bad(&errs.Error{
			Step: "check job", Peer: "caller", Path: "queue", Value: spec.Queue, Allowed: "a queue of the configuration",
		}))
		return
	}
	spec.Policy, spec.AcceptedMs = q.Policy, s.Now().UnixMilli()
	if err := spec.Check(); err != nil {
		answer(w, http.StatusBadRequest, bad(err))
		return
	}
	if err := s.Core.SubmitAnywhere(r.Context(), spec); err != nil {
		s.fail(w, err)
		return
	}
	answer(w, http.StatusOK, JobView{ID: spec.ID, Queue: spec.Queue, State: flow.Queued.String()})
}

func (s *Server) show(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	st, err := s.Core.StatusAnywhere(r.Context(), p.ByName("id"))
	if err != nil {
		s.fail(w, err)
		return
	}
	answer(w, http.StatusOK, JobView{ID: p.ByName("id"), Queue: st.Queue, State: st.State.String()})
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	if err := s.Core.CancelAnywhere(r.Context(), p.ByName("id")); err != nil {
		s.fail(w, err)
		return
	}
	s.show(w, r, p)
}

func (s *Server) queue(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	name := p.ByName("name")
	if conf := s.Core.Config(); conf == nil || conf.Queue(name) == nil {
		answer(w, http.StatusNotFound, problem{Code: codeNoQueue, Errors: []string{"queue " + strconv.Quote(name) + " is not in the configuration"}})
		return
	}
	answer(w, http.StatusOK, QueueView{Queue: name, Pending: s.Core.Pending(name)})
}

func (s *Server) site(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	v := SiteView{Ready: s.Core.Ready(), Leads: s.Core.Leads()}
	if conf := s.Core.Config(); conf != nil {
		v.Version = conf.Version
		for i := range conf.Queues {
			v.Queues = append(v.Queues, conf.Queues[i].Name)
		}
	}
	answer(w, http.StatusOK, v)
}

// fail answers a call that was not carried out, or of which that is not known.
func (s *Server) fail(w http.ResponseWriter, err error) {
	p := problem{Errors: []string{err.Error()}}
	switch {
	case errors.Is(err, core.ErrNoJob):
		p.Code = codeNoJob
		answer(w, http.StatusNotFound, p)
	case errors.Is(err, core.ErrNotRun):
		p.Code, p.RetryAfterMs = codeNotRun, retryAfter.Milliseconds()
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
		answer(w, http.StatusServiceUnavailable, p)
	default:
		p.Code = codeUnknown
		answer(w, http.StatusGatewayTimeout, p)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has left is told by its own side.
	_, _ = w.Write(data)
}
