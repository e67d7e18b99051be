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

// operTimeout bounds an operator's call.
const operTimeout = 8 * time.Second

// Codes of operators' errors.
const (
	codeBadInput = "bad-input"
	codeUnknown  = "outcome-unknown" // asking again with the same id is safe
	codeExists   = "name-taken"
	codeNotFound = "not-found"
	codeNoRoute  = "domain-unreachable"
)

func (i *Instance) handler() http.Handler {
	r := httprouter.New()
	for _, m := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		r.Handle(m, runPrefix+"/*path", i.serveRun)
	}
	r.GET("/healthz", i.getHealth)
	r.GET("/metrics", i.getMetrics)
	r.GET("/v1/status", i.getStatus)
	r.POST("/v1/patches", i.postPatch)
	r.GET("/v1/config", i.getConfig)
	r.GET("/v1/history", i.getHistory)
	r.POST("/v1/jobs", i.inDomain(i.postJob))
	r.GET("/v1/jobs", i.inDomain(i.getJobs))
	r.GET("/v1/job", i.inDomain(i.getJob))
	r.POST("/v1/cancel", i.inDomain(i.postCancel))
	r.GET("/v1/members", i.inDomain(i.getMembers))
	r.POST("/v1/bury", i.inDomain(i.postBury))
	r.Handler(http.MethodPost, peerPath, i.peerHandler())
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		operError(w, http.StatusNotFound, codeNotFound, "find path", q.RemoteAddr, errors.Errorf("no such path %q", errs.Shorten(q.URL.Path)))
	})
	r.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		operError(w, http.StatusMethodNotAllowed, codeBadInput, "find path", q.RemoteAddr, errors.Errorf("method %s is not allowed here", q.Method))
	})
	return r
}

type operErrorReply struct {
	Code   string   `json:"code"`
	Step   string   `json:"step"`
	Peer   string   `json:"peer"`
	Errors []string `json:"errors"`
}

func operError(w http.ResponseWriter, status int, code, step, peer string, err error) {
	writeJSON(w, status, operErrorReply{Code: code, Step: step, Peer: peer, Errors: strings.Split(err.Error(), "\n")})
}

// inDomain serves the call here when it is for this failure domain, which it is
// without the domain parameter, and carries it to the named one otherwise.
func (i *Instance) inDomain(h httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		domain := r.URL.Query().Get("domain")
		if domain == "" || domain == i.set.Domain {
			h(w, r, ps)
			return
		}
		i.relay(w, r, domain)
	}
}

func (i *Instance) relay(w http.ResponseWriter, r *http.Request, domain string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		operError(w, http.StatusBadRequest, codeBadInput, "read body", r.RemoteAddr, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operTimeout)
	defer cancel()
	nodes := i.members.NodesOf(member.KindEntry, domain)
	last := errors.Errorf("no entry instance of domain %q is listed", domain)
	for _, n := range nodes {
		status, reply, err := i.peers.Relay(ctx, n.Addr, r.Method, r.URL.RequestURI(), body)
		if err == nil {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(status)
			_, _ = w.Write(reply)
			return
		}
		last = err
	}
	operError(w, http.StatusServiceUnavailable, codeNoRoute, "reach domain "+domain, "entry instances", last)
}

// serveRelay answers an operator's call that another instance carried here.
func (i *Instance) serveRelay(ctx context.Context, method, path string, body []byte) (int, []byte) {
	r, err := http.NewRequestWithContext(ctx, method, path, bytes.NewReader(body))
	if err != nil || !strings.HasPrefix(path, "/v1/") {
		return http.StatusBadRequest, []byte(`{"code":"bad-input"}`)
	}
	r.RemoteAddr = "relayed"
	w := httptest.NewRecorder()
	i.handler().ServeHTTP(w, r)
	return w.Code, w.Body.Bytes()
}

func (i *Instance) getHealth(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if i.draining.Load() {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	if !i.conf.Ready() {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (i *Instance) getMetrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	now := i.now()
	i.meters.Gauge("tamaracklink_config_version", float64(i.conf.Version()))
	i.meters.Gauge("tamaracklink_config_read_age_ms", float64(now.Sub(i.conf.Tail()).Milliseconds()))
	s := i.domain.Status(now)
	i.meters.Gauge("tamaracklink_domain_read_age_ms", float64(s.TailAgeMS))
	i.meters.Gauge("tamaracklink_domain_term", float64(s.Term))
	i.meters.Gauge("tamaracklink_domain_leading", boolValue(s.Leading))
	i.meters.Gauge("tamaracklink_tasks_waiting", float64(s.Waiting))
	i.meters.Gauge("tamaracklink_tasks_running", float64(s.Running))
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	i.meters.Write(w)
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// readBody decodes a JSON body strictly and answers with an error otherwise.
func readBody(w http.ResponseWriter, r *http.Request, step string, v any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = strict.Decode(data, v)
	}
	if err != nil {
		operError(w, http.StatusBadRequest, codeBadInput, step, r.RemoteAddr, err)
		return false
	}
	return true
}

type patchRequest struct {
	ID       string          `json:"id"`
	Operator string          `json:"operator"`
	Base     uint64          `json:"base"`
	Change   json.RawMessage `json:"change"`
}

func (i *Instance) postPatch(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	const step = "propose patch"
	var q patchRequest
	if !readBody(w, r, step, &q) {
		return
	}
	p := config.Patch{ID: q.ID, Operator: q.Operator, Base: q.Base, At: i.now().UnixMilli(), Change: q.Change}
	if err := p.Check(r.RemoteAddr); err != nil {
		operError(w, http.StatusBadRequest, codeBadInput, step, r.RemoteAddr, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operTimeout)
	defer cancel()
	v, err := i.conf.Propose(ctx, p)
	if err != nil {
		operError(w, http.StatusServiceUnavailable, codeUnknown, step, i.set.Platform, err)
		return
	}
	status := http.StatusOK
	if v.Result != config.ResultAccepted {
		status = http.StatusConflict
	}
	writeJSON(w, status, v)
}

type configReply struct {
	Version uint64          `json:"version"`
	Newest  uint64          `json:"newest"`
	Doc     json.RawMessage `json:"config"`
}

func (i *Instance) getConfig(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	version := i.conf.Version()
	newest := version
	if text := r.URL.Query().Get("version"); text != "" {
		v, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			operError(w, http.StatusBadRequest, codeBadInput, "show configuration", r.RemoteAddr, errors.Errorf("version %q is not a number", errs.Shorten(text)))
			return
		}
		version = v
	}
	doc, err := i.conf.At(version)
	if err != nil {
		operError(w, http.StatusNotFound, codeNotFound, "show configuration", r.RemoteAddr, err)
		return
	}
	writeJSON(w, http.StatusOK, configReply{Version: version, Newest: newest, Doc: doc})
}

type historyReply struct {
	Changes []config.Change `json:"changes"`
}

func (i *Instance) getHistory(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, historyReply{Changes: i.conf.History()})
}

type jobReply struct {
	State string   `json:"state"`
	Job   work.Job `json:"job"`
}

func (i *Instance) postJob(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	const step = "submit job"
	var spec work.JobSpec
	if !readBody(w, r, step, &spec) {
		return
	}
	if err := spec.Check(step, r.RemoteAddr); err != nil {
		operError(w, http.StatusBadRequest, codeBadInput, step, r.RemoteAddr, err)
		return
	}
	if m, _ := i.conf.Model(); !hasTenant(m.Tenants, spec.Tenant) {
		e := &errs.Error{Step: step, Peer: r.RemoteAddr, Path: "tenant", Value: spec.Tenant, Allowed: "a tenant of the configuration in force"}
		operError(w, http.StatusBadRequest, entry.CodeTenantAbsent, step, r.RemoteAddr, e)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operTimeout)
	defer cancel()
	err := i.domain.Submit(ctx, spec)
	if errors.Is(err, leader.ErrExists) {
		operError(w, http.StatusConflict, codeExists, step, r.RemoteAddr, err)
		return
	}
	if err != nil {
		operError(w, http.StatusServiceUnavailable, codeUnknown, step, i.set.Platform, err)
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
		operError(w, http.StatusNotFound, codeNotFound, "show job", r.RemoteAddr, errors.Errorf("no job %q in domain %s", errs.Shorten(id), i.set.Domain))
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
	var q cancelRequest
	if !readBody(w, r, "cancel job", &q) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operTimeout)
	defer cancel()
	err := i.domain.Cancel(ctx, q.ID, q.By)
	if err != nil && !errors.Is(err, leader.ErrNoJob) {
		operError(w, http.StatusServiceUnavailable, codeUnknown, "cancel job", i.set.Platform, err)
		return
	}
	i.writeJob(w, r, q.ID)
}

type membersReply struct {
	Members map[string]work.Member `json:"members"`
}

func (i *Instance) getMembers(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, membersReply{i.domain.Members()})
}

type buryRequest struct {
	Member string `json:"member"`
	By     string `json:"by"`
}

func (i *Instance) postBury(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q buryRequest
	if !readBody(w, r, "bury member", &q) {
		return
	}
	if q.Member == i.member {
		operError(w, http.StatusBadRequest, codeBadInput, "bury member", r.RemoteAddr, errors.New("this very instance answers; it is not dead"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operTimeout)
	defer cancel()
	if err := i.domain.Bury(ctx, q.Member, q.By); err != nil {
		operError(w, http.StatusServiceUnavailable, codeUnknown, "bury member", i.set.Platform, err)
		return
	}
	i.getMembers(w, r, nil)
}
