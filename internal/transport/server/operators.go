package server

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/tamaracklink/tamaracklink/internal/coordination/entry"
	"github.com/tamaracklink/tamaracklink/internal/coordination/leader"
	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/state/config"
	"github.com/tamaracklink/tamaracklink/internal/state/errs"
	"github.com/tamaracklink/tamaracklink/internal/state/strict"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// operatorTimeout limits the time to serve an operator's call.
const operatorTimeout = 8 * time.Second

// Codes of the errors that operators receive.
const (
	codeBadInput          = "bad-input"
	codeOutcomeUnknown    = "outcome-unknown" // repeating the call with the same ID is safe
	codeNameTaken         = "name-taken"
	codeNotFound          = "not-found"
	codeDomainUnreachable = "domain-unreachable"
)

func (i *Instance) handler() http.Handler {
	r := httprouter.New()
	for _, m := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		r.Handle(m, requestPrefix+"/*path", i.serveRequest)
	}
	r.GET("/healthz", i.getHealth)
	r.GET("/metrics", i.getMetrics)
	r.GET("/v1/status", i.getStatus)
	r.POST("/v1/patches", i.postPatch)
	r.GET("/v1/config", i.getConfig)
	r.GET("/v1/history", i.getHistory)
	r.POST("/v1/jobs", i.forwardByDomain(i.postJob))
	r.GET("/v1/jobs", i.forwardByDomain(i.getJobs))
	r.GET("/v1/job", i.forwardByDomain(i.getJob))
	r.POST("/v1/cancel", i.forwardByDomain(i.postCancel))
	r.GET("/v1/members", i.forwardByDomain(i.getMembers))
	r.POST("/v1/bury", i.forwardByDomain(i.postMarkDead))
	r.Handler(http.MethodPost, peerPath, i.peerHandler())
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		writeOperatorError(w, http.StatusNotFound, codeNotFound, "find path", q.RemoteAddr, errors.Errorf("no such path %q", errs.Shorten(q.URL.Path)))
	})
	r.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		writeOperatorError(w, http.StatusMethodNotAllowed, codeBadInput, "find path", q.RemoteAddr, errors.Errorf("method %s is not allowed here", q.Method))
	})
	return r
}

type operatorErrorReply struct {
	Code   string   `json:"code"`
	Step   string   `json:"step"`
	Peer   string   `json:"peer"`
	Errors []string `json:"errors"`
}

func writeOperatorError(w http.ResponseWriter, status int, code, step, peer string, err error) {
	writeJSON(w, status, operatorErrorReply{Code: code, Step: step, Peer: peer, Errors: strings.Split(err.Error(), "\n")})
}

// forwardByDomain returns a handler that forwards a call to the failure domain
// that its domain parameter names. A call for this instance's domain, or without
// the parameter, goes to h.
func (i *Instance) forwardByDomain(h httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		domain := r.URL.Query().Get("domain")
		if domain == "" || domain == i.settings.Domain {
			h(w, r, ps)
			return
		}
		i.forwardToDomain(w, r, domain)
	}
}

func (i *Instance) forwardToDomain(w http.ResponseWriter, r *http.Request, domain string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeOperatorError(w, http.StatusBadRequest, codeBadInput, "read body", r.RemoteAddr, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	instances := i.memberView.InstancesOf(member.KindEntry, domain)
	lastErr := errors.Errorf("no entry instance of domain %q is listed", domain)
	for _, inst := range instances {
		status, reply, err := i.peerClient.ForwardOperatorCall(ctx, inst.Addr, r.Method, r.URL.RequestURI(), body)
		if err == nil {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(status)
			_, _ = w.Write(reply)
			return
		}
		lastErr = err
	}
	writeOperatorError(w, http.StatusServiceUnavailable, codeDomainUnreachable, "reach domain "+domain, "entry instances", lastErr)
}

// serveForwarded serves an operator's call that another instance has forwarded,
// and returns the status and the body of the answer.
func (i *Instance) serveForwarded(ctx context.Context, method, path string, body []byte) (int, []byte) {
	r, err := http.NewRequestWithContext(ctx, method, path, bytes.NewReader(body))
	if err != nil || !strings.HasPrefix(path, "/v1/") {
		return http.StatusBadRequest, []byte(`{"code":"bad-input"}`)
	}
	r.RemoteAddr = "relayed"
	recorder := httptest.NewRecorder()
	i.handler().ServeHTTP(recorder, r)
	return recorder.Code, recorder.Body.Bytes()
}

func (i *Instance) getHealth(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if i.draining.Load() {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	if !i.configView.Ready() {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (i *Instance) getMetrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	now := i.now()
	i.metrics.Gauge("tamaracklink_config_version", float64(i.configView.Version()))
	i.metrics.Gauge("tamaracklink_config_read_age_ms", float64(now.Sub(i.configView.CaughtUpAt()).Milliseconds()))
	status := i.domain.Status(now)
	i.metrics.Gauge("tamaracklink_domain_read_age_ms", float64(status.LogReadAgeMS))
	i.metrics.Gauge("tamaracklink_domain_term", float64(status.Term))
	i.metrics.Gauge("tamaracklink_domain_leading", gaugeValue(status.Leading))
	i.metrics.Gauge("tamaracklink_tasks_waiting", float64(status.PendingTasks))
	i.metrics.Gauge("tamaracklink_tasks_running", float64(status.RunningTasks))
	i.metrics.Gauge("tamaracklink_body_bytes", float64(i.clientBodies.Used()), "clients", "clients")
	i.metrics.Gauge("tamaracklink_body_bytes", float64(i.peerBodies.Used()), "clients", "peers")
	i.metrics.Gauge("tamaracklink_open_connections", float64(i.guard.Conns.Open()))
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	i.metrics.Write(w)
}

func gaugeValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// decodeBody reads the body and decodes it strictly as JSON into v. It reports
// whether that succeeded; if not, it has answered the call with an error.
func (i *Instance) decodeBody(w http.ResponseWriter, r *http.Request, step string, v any) bool {
	if err := i.readBody(w, r, v); err != nil {
		writeOperatorError(w, http.StatusBadRequest, codeBadInput, step, r.RemoteAddr, err)
		return false
	}
	return true
}

func (i *Instance) readBody(w http.ResponseWriter, r *http.Request, v any) error {
	return i.withDecoder(r.Context(), func() error {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			return err
		}
		return strict.Decode(data, v)
	})
}

// withDecoder calls decode as one of the few that decode at a time, and returns its
// error or that of ctx.
func (i *Instance) withDecoder(ctx context.Context, decode func() error) error {
	if err := i.decoders.Take(ctx); err != nil {
		return err
	}
	defer i.decoders.Release() // also if decoding panics
	return decode()
}

type patchRequest struct {
	ID       string          `json:"id"`
	Operator string          `json:"operator"`
	Base     uint64          `json:"base"`
	Change   json.RawMessage `json:"change"`
}

func (i *Instance) postPatch(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	const step = "propose patch"
	var req patchRequest
	if !i.decodeBody(w, r, step, &req) {
		return
	}
	p := config.Patch{ID: req.ID, Operator: req.Operator, Base: req.Base, AtMs: i.now().UnixMilli(), Change: req.Change}
	if err := i.withDecoder(r.Context(), func() error { return p.Check(r.RemoteAddr) }); err != nil {
		writeOperatorError(w, http.StatusBadRequest, codeBadInput, step, r.RemoteAddr, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	verdict, err := i.configView.Propose(ctx, p)
	if err != nil {
		writeOperatorError(w, http.StatusServiceUnavailable, codeOutcomeUnknown, step, i.settings.Platform, err)
		return
	}
	status := http.StatusOK
	if verdict.Result != config.ResultAccepted {
		status = http.StatusConflict
	}
	writeJSON(w, status, verdict)
}

type configReply struct {
	Version  uint64          `json:"version"`
	Newest   uint64          `json:"newest"`
	Document json.RawMessage `json:"config"`
}

func (i *Instance) getConfig(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	version := i.configView.Version()
	newest := version
	if text := r.URL.Query().Get("version"); text != "" {
		v, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeOperatorError(w, http.StatusBadRequest, codeBadInput, "show configuration", r.RemoteAddr, errors.Errorf("version %q is not a number", errs.Shorten(text)))
			return
		}
		version = v
	}
	doc, err := i.configView.DocumentAt(version)
	if err != nil {
		writeOperatorError(w, http.StatusNotFound, codeNotFound, "show configuration", r.RemoteAddr, err)
		return
	}
	writeJSON(w, http.StatusOK, configReply{Version: version, Newest: newest, Document: doc})
}

type historyReply struct {
	Changes []config.Change `json:"changes"`
}

func (i *Instance) getHistory(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, historyReply{Changes: i.configView.History()})
}

type jobReply struct {
	State string   `json:"state"`
	Job   work.Job `json:"job"`
}

func (i *Instance) postJob(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	const step = "submit job"
	var spec work.JobSpec
	if !i.decodeBody(w, r, step, &spec) {
		return
	}
	if err := spec.Check(step, r.RemoteAddr); err != nil {
		writeOperatorError(w, http.StatusBadRequest, codeBadInput, step, r.RemoteAddr, err)
		return
	}
	if model, _ := i.configView.Model(); !hasTenant(model.Tenants, spec.Tenant) {
		e := &errs.Error{Step: step, Peer: r.RemoteAddr, Path: "tenant", Value: spec.Tenant, Allowed: "a tenant of the configuration in force"}
		writeOperatorError(w, http.StatusBadRequest, entry.CodeUnknownTenant, step, r.RemoteAddr, e)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	err := i.domain.Submit(ctx, spec)
	if errors.Is(err, leader.ErrJobExists) {
		writeOperatorError(w, http.StatusConflict, codeNameTaken, step, r.RemoteAddr, err)
		return
	}
	if err != nil {
		writeOperatorError(w, http.StatusServiceUnavailable, codeOutcomeUnknown, step, i.settings.Platform, err)
		return
	}
	i.writeJob(w, r, spec.ID)
}

func hasTenant(tenants map[string]config.Tenant, name string) bool {
	_, ok := tenants[name]
	return ok
}

func (i *Instance) writeJob(w http.ResponseWriter, r *http.Request, id string) {
	j, ok := i.domain.Job(id)
	if !ok {
		writeOperatorError(w, http.StatusNotFound, codeNotFound, "show job", r.RemoteAddr, errors.Errorf("no job %q in domain %s", errs.Shorten(id), i.settings.Domain))
		return
	}
	writeJSON(w, http.StatusOK, jobReply{State: j.State(), Job: j})
}

func (i *Instance) getJob(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	i.writeJob(w, r, r.URL.Query().Get("id"))
}

type jobsReply struct {
	Jobs []jobReply `json:"jobs"`
}

func (i *Instance) getJobs(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	var out jobsReply
	for _, j := range i.domain.Jobs() {
		out.Jobs = append(out.Jobs, jobReply{State: j.State(), Job: j})
	}
	writeJSON(w, http.StatusOK, out)
}

type cancelRequest struct {
	ID string `json:"id"`
	By string `json:"by"`
}

func (i *Instance) postCancel(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var req cancelRequest
	if !i.decodeBody(w, r, "cancel job", &req) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	err := i.domain.Cancel(ctx, req.ID, req.By)
	if err != nil && !errors.Is(err, leader.ErrJobNotFound) {
		writeOperatorError(w, http.StatusServiceUnavailable, codeOutcomeUnknown, "cancel job", i.settings.Platform, err)
		return
	}
	i.writeJob(w, r, req.ID)
}

type membersReply struct {
	Members map[string]work.Member `json:"members"`
}

func (i *Instance) getMembers(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, membersReply{i.domain.Members()})
}

type markDeadRequest struct {
	Member string `json:"member"`
	By     string `json:"by"`
}

func (i *Instance) postMarkDead(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var req markDeadRequest
	if !i.decodeBody(w, r, "bury member", &req) {
		return
	}
	if req.Member == i.memberID {
		writeOperatorError(w, http.StatusBadRequest, codeBadInput, "bury member", r.RemoteAddr, errors.New("this member is the instance that serves the call, so its process has not ended"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	err := i.domain.MarkMemberDead(ctx, req.Member, req.By)
	if errors.Is(err, leader.ErrMemberNotFound) {
		writeOperatorError(w, http.StatusNotFound, codeNotFound, "bury member", r.RemoteAddr, errors.Errorf("no member %q in domain %s", errs.Shorten(req.Member), i.settings.Domain))
		return
	}
	if err != nil {
		writeOperatorError(w, http.StatusServiceUnavailable, codeOutcomeUnknown, "bury member", i.settings.Platform, err)
		return
	}
	i.getMembers(w, r, nil)
}
