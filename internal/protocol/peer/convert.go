package peer

import (
	"net/http"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/coordination/entry"
	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/protocol/peerpb"
)

func toReport(r member.Report) *peerpb.Report {
	return &peerpb.Report{
		Instance: r.Instance, Member: r.Member, Domain: r.Domain, Addr: r.Addr, Leaving: r.Leaving,
		Free: int32(r.FreeSlots), Slots: int32(r.TotalSlots), Waiting: int32(r.WaitingRequests), Rate: r.Rate, Version: r.ConfigVersion,
		TailAgeMs: r.LogReadAge.Milliseconds(), LogDown: r.LogDown, Leader: r.LeaderInstance, Term: r.Term,
		AskHold: r.AskHold, HoldMs: r.NoClaimFor.Milliseconds(), KeepMs: r.NoReassignFor.Milliseconds(), PaceUs: r.LeastServiceTime.Microseconds(),
	}
}

func fromReport(r *peerpb.Report) member.Report {
	return member.Report{
		Instance: r.Instance, Member: r.Member, Domain: r.Domain, Addr: r.Addr, Leaving: r.Leaving,
		FreeSlots: int(r.Free), TotalSlots: int(r.Slots), WaitingRequests: int(r.Waiting), Rate: r.Rate, ConfigVersion: r.Version,
		LogReadAge: millis(r.TailAgeMs), LogDown: r.LogDown, LeaderInstance: r.Leader, Term: r.Term,
		AskHold: r.AskHold, NoClaimFor: millis(r.HoldMs), NoReassignFor: millis(r.KeepMs), LeastServiceTime: time.Duration(r.PaceUs) * time.Microsecond,
	}
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func toRequest(req *entry.Request, now time.Time) *peerpb.ForwardRequest {
	return &peerpb.ForwardRequest{
		Id: req.ID, Tenant: req.Tenant, Class: req.Class, Idempotent: req.Idempotent, Key: req.IdempotencyKey,
		LeftMs: req.Deadline.Sub(now).Milliseconds(), Method: req.Method, Path: req.Path, Headers: toHeaders(req.Header), Body: req.Body,
	}
}

func fromRequest(req *peerpb.ForwardRequest, now time.Time) *entry.Request {
	return &entry.Request{
		ID: req.Id, Tenant: req.Tenant, Class: req.Class, Idempotent: req.Idempotent, IdempotencyKey: req.Key,
		Deadline: now.Add(millis(req.LeftMs)), Method: req.Method, Path: req.Path, Header: fromHeaders(req.Headers), Body: req.Body,
		Forwarded: true,
	}
}

func toAnswer(a entry.Answer) *peerpb.ForwardReply {
	return &peerpb.ForwardReply{
		Outcome: a.Outcome, Code: a.Code, Detail: a.Detail, Minion: a.Minion, RetryMs: a.RetryAfter.Milliseconds(),
		Status: int32(a.Status), Headers: toHeaders(a.Header), Body: a.Body, Attempts: int32(a.Attempts),
		WaitedUs: a.Waited.Microseconds(),
	}
}

func fromAnswer(a *peerpb.ForwardReply) entry.Answer {
	return entry.Answer{
		Outcome: a.Outcome, Code: a.Code, Detail: a.Detail, Minion: a.Minion, RetryAfter: millis(a.RetryMs),
		Status: int(a.Status), Header: fromHeaders(a.Headers), Body: a.Body, Attempts: int(a.Attempts),
		Waited: time.Duration(a.WaitedUs) * time.Microsecond,
	}
}

func toHeaders(h http.Header) []*peerpb.Header {
	out := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &peerpb.Header{Name: name, Values: values})
	}
	return out
}

func fromHeaders(headers []*peerpb.Header) http.Header {
	h := http.Header{}
	for _, header := range headers {
		h[header.Name] = header.Values
	}
	return h
}
