package server

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/tamaracklink/tamaracklink/internal/coordination/entry"
	"github.com/tamaracklink/tamaracklink/internal/state/errs"
	"github.com/tamaracklink/tamaracklink/internal/state/route"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Headers of callers' requests and of the answers to them.
const (
	HeaderTenant     = "Tamaracklink-Tenant"
	HeaderClass      = "Tamaracklink-Class"
	HeaderDeadline   = "Tamaracklink-Deadline-Ms"
	HeaderIdempotent = "Tamaracklink-Idempotent"
	HeaderKey        = "Idempotency-Key"
	HeaderID         = "Tamaracklink-Request-Id"
	HeaderOutcome    = "Tamaracklink-Outcome"
	HeaderAttempts   = "Tamaracklink-Attempts"
	HeaderMinion     = "Tamaracklink-Minion"
	headerPrefix     = "Tamaracklink-"
)

// Limits of callers' requests.
const (
	maxBodyBytes    = 1 << 20
	maxKeyBytes     = 128
	defaultDeadline = 30 * time.Second
	maxDeadline     = 10 * time.Minute
)

// requestPrefix is the path prefix of requests to minions.
const requestPrefix = "/run"

type errorReply struct {
	Code      string `json:"code"`
	Outcome   string `json:"outcome"`
	Step      string `json:"step"`
	Peer      string `json:"peer,omitempty"`
	Detail    string `json:"detail"`
	RequestID string `json:"request-id"`
	RetryMS   int64  `json:"retry-after-ms,omitempty"`
}

func (i *Instance) serveRequest(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	id := i.newRequestID()
	w.Header().Set(HeaderID, id)
	req, code, err := i.readRequest(w, r, id)
	if err != nil {
		i.metrics.Count("tamaracklink_request_errors", "code", code, 1)
		writeError(w, httpStatus(code), errorReply{
			Code: code, Outcome: entry.OutcomeNotRun, Step: "read request", Peer: r.RemoteAddr, Detail: err.Error(), RequestID: id,
		})
		return
	}
	answer := i.router.Do(r.Context(), req)
	w.Header().Set(HeaderOutcome, answer.Outcome)
	w.Header().Set(HeaderAttempts, strconv.Itoa(answer.Attempts))
	if answer.Outcome != entry.OutcomeAnswered {
		writeError(w, httpStatus(answer.Code), errorReply{
			Code: answer.Code, Outcome: answer.Outcome, Step: "carry request", Peer: answer.Minion, Detail: answer.Detail, RequestID: id,
			RetryMS: answer.RetryAfter.Milliseconds(),
		})
		return
	}
	w.Header().Set(HeaderMinion, answer.Minion)
	writeAnswer(w, answer)
}

func (i *Instance) newRequestID() string {
	return fmt.Sprintf("%s-%x", i.memberID, i.lastRequestNumber.Add(1))
}

func writeAnswer(w http.ResponseWriter, answer entry.Answer) {
	for name, values := range answer.Header {
		if !isNotForwarded(name) {
			w.Header()[name] = values
		}
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	// A write error means that the caller has disconnected. The request's outcome
	// does not depend on it.
	_, _ = w.Write(answer.Body)
}

// isNotForwarded reports whether a header concerns a single connection or this
// system itself, so that it is not passed on between caller and minion.
func isNotForwarded(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Request-Id", "Request-Refused", "Expect":
		return true
	}
	return strings.HasPrefix(name, headerPrefix)
}

// readRequest checks all headers, reads the body, and returns the request. The
// error names every wrong header; the string is the error code for the caller.
func (i *Instance) readRequest(w http.ResponseWriter, r *http.Request, id string) (*entry.Request, string, error) {
	problems := &errs.List{}
	req := &entry.Request{
		ID: id, Tenant: r.Header.Get(HeaderTenant), Class: r.Header.Get(HeaderClass), IdempotencyKey: r.Header.Get(HeaderKey),
		Method: r.Method, Path: strings.TrimPrefix(r.URL.RequestURI(), requestPrefix), Header: http.Header{},
	}
	addProblem := func(path, value, allowed string) {
		problems.Add(errs.Error{Step: "read request", Peer: r.RemoteAddr, Path: path, Value: value, Allowed: allowed})
	}
	code := entry.CodeBadRequest
	if !work.ValidName(req.Tenant) {
		addProblem(HeaderTenant, req.Tenant, "the name of a tenant, 1 to 64 of a-z 0-9 . _ / -")
	} else if model, _ := i.configView.Model(); model.Tenants == nil || !hasTenant(model.Tenants, req.Tenant) {
		addProblem(HeaderTenant, req.Tenant, "a tenant of the configuration in force")
		code = entry.CodeUnknownTenant
	}
	if !route.ValidClass(req.Class) {
		addProblem(HeaderClass, req.Class, "urgent, quick or patient")
	}
	if len(req.IdempotencyKey) > maxKeyBytes {
		addProblem(HeaderKey, req.IdempotencyKey, fmt.Sprintf("at most %d bytes", maxKeyBytes))
	}
	req.Idempotent = readIdempotent(r.Header.Get(HeaderIdempotent), addProblem)
	req.Deadline = i.now().Add(readDeadline(r.Header.Get(HeaderDeadline), addProblem))
	if err := problems.Err(); err != nil {
		return nil, code, err
	}
	for name, values := range r.Header {
		if !isNotForwarded(name) {
			req.Header[name] = values
		}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, bodyErrorCode(err), errors.Wrap(err, "read body")
	}
	req.Body = body
	return req, "", nil
}

func bodyErrorCode(err error) string {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return entry.CodeTooLarge
	}
	if strings.Contains(err.Error(), "timeout") {
		return entry.CodeSlowCaller
	}
	return entry.CodeBadRequest
}

func readIdempotent(value string, addProblem func(path, value, allowed string)) bool {
	switch value {
	case "true":
		return true
	case "false", "":
		return false // the safe default: the request is not repeated after a lost answer
	}
	addProblem(HeaderIdempotent, value, "true or false")
	return false
}

func readDeadline(value string, addProblem func(path, value, allowed string)) time.Duration {
	if value == "" {
		return defaultDeadline
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	d := time.Duration(ms) * time.Millisecond
	if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
		addProblem(HeaderDeadline, value, fmt.Sprintf("1 to %d milliseconds", maxDeadline.Milliseconds()))
		return 0
	}
	return d
}

func httpStatus(code string) int {
	switch code {
	case entry.CodeBadRequest, entry.CodeUnknownTenant:
		return http.StatusBadRequest
	case entry.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case entry.CodeSlowCaller:
		return http.StatusRequestTimeout
	case entry.CodeTenantQueueFull, entry.CodeDeadlineNotReachable, entry.CodeOverloaded:
		return http.StatusTooManyRequests
	case entry.CodeKeyHeld, entry.CodeKeyDone:
		return http.StatusConflict
	case entry.CodeAnswerLost, entry.CodeMinionLost, entry.CodeMinionsLost, entry.CodePeerLost:
		return http.StatusBadGateway
	case entry.CodeDeadlinePassed, entry.CodeCallerLeft:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

func writeError(w http.ResponseWriter, status int, e errorReply) {
	if e.RetryMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((e.RetryMS+999)/1000, 10))
	}
	w.Header().Set(HeaderOutcome, e.Outcome)
	writeJSON(w, status, e)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
