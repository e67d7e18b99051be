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
	"github.com/tamaracklink/tamaracklink/internal/state/admit"
	"github.com/tamaracklink/tamaracklink/internal/state/check"
	"github.com/tamaracklink/tamaracklink/internal/state/errs"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/keys"
	"github.com/tamaracklink/tamaracklink/internal/state/strict"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
	"github.com/tamaracklink/tamaracklink/internal/transport/guard"
)

// MaxBodyBytes is the largest body of a request.
const MaxBodyBytes = 1 << 20

// Server serves the API to callers and operators. All fields but Decoders must be
// set.
type Server struct {
	Core *core.Core
	Now  func() time.Time
	// Decoders limits how many bodies are decoded at a time; nil means no limit.
	Decoders guard.Slots
}

// specDoc is a submitted job. Its Steps take the place of those of flow.Spec.
type specDoc struct {
	flow.Spec
	Steps stepDocs `json:"steps"`
}

// stepDocs are the steps of a submitted job, decoded no further than one beyond
// the limit, which flow.Spec.Check then reports.
type stepDocs []flow.Step

// UnmarshalJSON implements json.Unmarshaler.
func (s *stepDocs) UnmarshalJSON(data []byte) error {
	*s = nil
	return strict.Elements(data, flow.MaxSteps+1, true, func(d *json.Decoder) error {
		*s = append(*s, flow.Step{})
		return d.Decode(&(*s)[len(*s)-1])
	})
}

// JobView is the JSON form of a job.
type JobView struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	State string `json:"state"`
	// ConfigVersion is the version of the configuration under which the job was
	// accepted.
	ConfigVersion int64  `json:"config-version,omitempty"`
	Customer      string `json:"customer,omitempty"` // empty if there is none
}

// QueueView is the JSON form of a queue.
type QueueView struct {
	Queue       string `json:"queue"`
	PendingJobs int    `json:"pending"` // accepted jobs of which no task has started
}

// InstanceView is the JSON form of an instance's state.
type InstanceView struct {
	ConfigVersion int64    `json:"config-version"`
	Ready         bool     `json:"ready"`
	Leading       bool     `json:"leads"`
	Queues        []string `json:"queues"`
	// Customers is the number of customers, nil if callers need no keys.
	Customers *int `json:"customers,omitempty"`
	// ProofAgeMs is the age of the proof that the configuration is the newest, nil
	// if there is none or callers need no keys.
	ProofAgeMs *int64 `json:"proof-age-ms,omitempty"`
}

type errorReply struct {
	Code         string   `json:"code"`
	Errors       []string `json:"errors"`
	RetryAfterMs int64    `json:"retry-after-ms,omitempty"`
}

// Codes of error replies.
const (
	codeBadRequest     = "bad-request"
	codeNotExecuted    = "not-run"
	codeOutcomeUnknown = "outcome-unknown"
	codeJobNotFound    = "no-such-job"
	codeQueueNotFound  = "no-such-queue"
	codeOtherCustomer  = "other-customer"
)

func badRequest(err error) errorReply {
	return errorReply{Code: codeBadRequest, Errors: strings.Split(err.Error(), "\n")}
}

// Register adds the paths of the API to m.
func (s *Server) Register(m *httprouter.Router) {
	m.POST("/flows", s.submitJob)
	m.GET("/flows/:id", s.showJob)
	m.DELETE("/flows/:id", s.cancelJob)
	m.GET("/queues/:name", s.showQueue)
	m.GET("/site", s.showInstance)
	m.GET("/flows-config", s.showConfig)
}

func (s *Server) submitJob(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if err := s.Decoders.Take(r.Context()); err != nil {
		s.writeError(w, core.ErrNotExecuted)
		return
	}
	spec, status, err := s.readJob(w, r)
	if err != nil {
		writeJSON(w, status, badRequest(err))
		return
	}
	cfg := s.Core.Config()
	if cfg == nil {
		s.writeError(w, core.ErrNotExecuted)
		return
	}
	queue := cfg.Queue(spec.Queue)
	if queue == nil {
		writeJSON(w, http.StatusBadRequest, badRequest(&errs.Error{
			Step: "check job", Peer: "caller", Path: "queue", Value: spec.Queue, Allowed: "a queue of the configuration",
		}))
		return
	}
	spec.Policy, spec.ConfigVersion, spec.AcceptedMs = queue.Policy, cfg.Version, s.Now().UnixMilli()
	spec.MaxRunning = work.Size{}
	if spec.Customer != "" {
		customer := cfg.Customer(spec.Customer)
		if customer == nil {
			writeJSON(w, http.StatusBadRequest, badRequest(&errs.Error{
				Step: "check job", Peer: "caller", Path: "customer", Value: spec.Customer, Allowed: "a customer of the configuration",
			}))
			return
		}
		spec.MaxRunning = customer.MaxRunning
	}
	err = spec.Check()
	if err == nil {
		err = spec.CheckQuota()
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, badRequest(err))
		return
	}
	if err := s.Core.SubmitOrForward(r.Context(), spec); err != nil {
		s.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, JobView{ID: spec.ID, Queue: spec.Queue, State: flow.Queued.String(), ConfigVersion: cfg.Version, Customer: spec.Customer})
}

// readJob reads and decodes a job, and gives back the decoder that the caller has
// taken, also if it panics. With an error it returns the status of the answer.
func (s *Server) readJob(w http.ResponseWriter, r *http.Request) (*flow.Spec, int, error) {
	defer s.Decoders.Release()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		return nil, http.StatusRequestEntityTooLarge, err
	}
	doc := &specDoc{}
	if err := strict.Decode(body, doc); err != nil {
		return nil, http.StatusBadRequest, errs.At("read job", "caller", err)
	}
	doc.Spec.Steps = doc.Steps
	return &doc.Spec, 0, nil
}

func (s *Server) showJob(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	status, err := s.Core.StatusOrForward(r.Context(), p.ByName("id"), keys.Caller{})
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, JobView{ID: p.ByName("id"), Queue: status.Queue, State: status.State.String(), ConfigVersion: status.ConfigVersion, Customer: status.Customer})
}

func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	if err := s.Core.CancelOrForward(r.Context(), p.ByName("id"), keys.Caller{}); err != nil {
		s.writeError(w, err)
		return
	}
	s.showJob(w, r, p)
}

func (s *Server) showQueue(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	name := p.ByName("name")
	if cfg := s.Core.Config(); cfg == nil || cfg.Queue(name) == nil {
		writeJSON(w, http.StatusNotFound, errorReply{Code: codeQueueNotFound, Errors: []string{"queue " + strconv.Quote(name) + " is not in the configuration"}})
		return
	}
	pending, err := s.Core.PendingJobsOrForward(r.Context(), name)
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, QueueView{Queue: name, PendingJobs: pending})
}

func (s *Server) showInstance(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	view := InstanceView{Ready: s.Core.Ready(), Leading: s.Core.IsLeader()}
	if cfg := s.Core.Config(); cfg != nil {
		view.ConfigVersion = cfg.Version
		for i := range cfg.Queues {
			view.Queues = append(view.Queues, cfg.Queues[i].Name)
		}
		if cfg.CustomersOn {
			n := len(cfg.Customers)
			view.Customers = &n
			if age, ok := s.Core.ProofAge(); ok {
				ms := age.Milliseconds()
				view.ProofAgeMs = &ms
			}
		}
	}
	writeJSON(w, http.StatusOK, view)
}

// showConfig answers with the configuration in force, as a check.Config. It has
// hashes in place of the API keys.
func (s *Server) showConfig(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	cfg := s.Core.Config()
	if cfg == nil {
		s.writeError(w, core.ErrNotExecuted)
		return
	}
	writeJSON(w, http.StatusOK, check.InForce(cfg))
}

// writeError answers a call with the error reply and the status for err. Any
// error other than an unknown job or a call that was not executed means that
// the outcome of the call is unknown.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	reply := errorReply{Errors: []string{err.Error()}}
	var rejected *core.RejectedError
	switch {
	case errors.Is(err, core.ErrJobNotFound):
		reply.Code = codeJobNotFound
		writeJSON(w, http.StatusNotFound, reply)
	case errors.Is(err, core.ErrOtherCustomer):
		reply.Code = codeOtherCustomer
		writeJSON(w, http.StatusConflict, reply)
	case errors.As(err, &rejected), errors.Is(err, core.ErrNotExecuted):
		retryAfter := admit.RetryAfter(nil)
		if rejected != nil {
			retryAfter = rejected.RetryAfter
		}
		reply.Code, reply.RetryAfterMs = codeNotExecuted, retryAfter.Milliseconds()
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
		writeJSON(w, http.StatusServiceUnavailable, reply)
	default:
		reply.Code = codeOutcomeUnknown
		writeJSON(w, http.StatusGatewayTimeout, reply)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller has disconnected; nobody is left to
	// report it to.
	_, _ = w.Write(data)
}
