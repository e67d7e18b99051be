package entry

import (
	"net/http"
	"time"
)

// Outcomes of a request.
const (
	OutcomeAnswered = "answered" // a minion returned a complete answer
	OutcomeNotRun   = "not-run"  // certainly not run: never sent, or refused before it started
	OutcomeUnknown  = "unknown"  // sent, but without a complete answer; it may have run
)

// Codes of the reasons why a request got no answer from a minion. Programs may
// match them, so their values don't change.
const (
	CodeOverloaded           = "overloaded"             // too many requests wait
	CodeTenantQueueFull      = "tenant-queue-full"      // too many requests of the tenant wait
	CodeDeadlineNotReachable = "deadline-not-reachable" // could not start in time behind the waiting requests
	CodeDeadlinePassed       = "deadline-passed"
	CodeNoMinion             = "no-minion"                // the request could not be sent to the chosen minion
	CodeAnswerLost           = "answer-lost"              // sent, but no complete answer arrived
	CodeMinionsLost          = "minions-lost"             // so many minions were lost while they ran it that it is sent to no other
	CodeMinionLost           = "minion-lost"              // to peers only: the minion was lost while it ran it; callers get CodeAnswerLost
	CodeRefused              = "refused-by-minion"        // the minion did not start it
	CodeKeyHeld              = "idempotency-key-held"     // another request with the key may have run
	CodeKeyDone              = "idempotency-key-done"     // another request with the key has run
	CodeKeyUnproved          = "idempotency-key-unproved" // the key could not be claimed in the log
	CodeLeaving              = "instance-leaving"         // the instance is stopping
	CodeCallerLeft           = "caller-left"              // the caller disconnected while the request waited
	CodeBadRequest           = "bad-request"
	CodePeerLost             = "peer-lost" // forwarded to a peer whose answer did not arrive
	CodeTooLarge             = "body-too-large"
	CodeSlowCaller           = "caller-too-slow"
	CodeUnknownTenant        = "unknown-tenant"
)

// Request is a caller's request.
type Request struct {
	ID             string
	AttemptID      string // ID of the attempt, set by Router for each sending to a minion
	Tenant         string
	Class          string
	Idempotent     bool
	IdempotencyKey string // may be empty
	Deadline       time.Time
	Method         string
	Path           string // including the query
	Header         http.Header
	Body           []byte
	Forwarded      bool // received from a peer; not forwarded again
	MinionsLost    int  // minions lost under earlier attempts, set by Router
}

// Answer is the answer to a request for its caller: a minion's complete answer,
// or the reason why there is none.
type Answer struct {
	Outcome    string        // one of the Outcome constants
	Code       string        // one of the Code constants; empty if Outcome is OutcomeAnswered
	Detail     string        // the reason for people; empty if Outcome is OutcomeAnswered
	Minion     string        // to which the last attempt was made, if any
	RetryAfter time.Duration // after which the caller may repeat a request that was not run

	Status int // of the minion's answer, as Header and Body
	Header http.Header
	Body   []byte

	Attempts int
	Waited   time.Duration // from arrival until the last attempt got a slot
}

// Reply is a minion's complete answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// SendError is the error of an attempt without a complete answer.
type SendError struct {
	Sent    bool   // the request may have reached the minion
	Refused bool   // the minion answered that it did not start the request
	Leaving bool   // the minion answered that it is stopping
	Broken  bool   // the connection was closed before any part of the answer
	Addr    string // address of the minion
	Err     error
}

// Error implements error.
func (e *SendError) Error() string { return "send to minion " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Load is a minion's answer to a load query.
type Load struct {
	Running     []string // IDs of the attempts that it runs
	Connections int
	Leaving     bool // it is stopping
}
