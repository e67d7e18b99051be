package cell

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/protocol/cellpb"
	"github.com/tamaracklink/tamaracklink/internal/state/errs"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
)

// Give carries a leader's orders.
func (s *Server) Give(_ context.Context, q *cellpb.GiveRequest) (*cellpb.GiveReply, error) {
	orders := make([]core.NumberedOrder, 0, len(q.Orders))
	for _, o := range q.Orders {
		n := core.NumberedOrder{ID: o.Id, Order: sched.Order{
			Kind: sched.OrderKind(o.Kind), Worker: o.Worker, Addr: o.Addr, Run: int(o.Run), Payload: o.Payload,
			Saved: o.Saved, Ticket: o.Ticket, Until: o.UntilMs, Acked: o.Acked, Wait: time.Duration(o.WaitMs) * time.Millisecond,
			Percent: int(o.Percent),
		}}
		if o.Task != "" {
			id, err := sched.ParseTaskID(o.Task)
			if err != nil {
				return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
			}
			n.Task = id
		}
		orders = append(orders, n)
	}
	s.Core.Give(q.Leader, q.Term, orders)
	return &cellpb.GiveReply{}, nil
}

// Answers gives the answers to a leader's orders.
func (s *Server) Answers(ctx context.Context, q *cellpb.AnswersRequest) (*cellpb.AnswersReply, error) {
	list, last := s.Core.Answers(ctx, q.Leader, q.After, time.Duration(q.WaitMs)*time.Millisecond)
	r := &cellpb.AnswersReply{Last: last}
	for _, a := range list {
		x := &cellpb.Answer{Id: a.ID, Answer: int32(a.Answer), Boot: a.Report.Boot, ClockUs: a.Report.Clock.Microseconds()}
		for _, v := range a.Report.Running {
			x.Running = append(x.Running, &cellpb.Running{Task: v.Task.String(), Run: int64(v.Run), Saved: v.Saved, Load: v.Load})
		}
		for _, v := range a.Report.Ended {
			x.Ended = append(x.Ended, &cellpb.End{Number: v.Number, Task: v.Task.String(), Run: int64(v.Run), Kind: int32(v.Kind), Saved: v.Saved})
		}
		r.Answers = append(r.Answers, x)
	}
	return r, nil
}

// Give has the instance at addr carry orders.
func (c *Client) Give(ctx context.Context, addr, leader string, term int64, orders []core.NumberedOrder) error {
	q := &cellpb.GiveRequest{Leader: leader, Term: term}
	for _, o := range orders {
		x := &cellpb.Order{
			Id: o.ID, Kind: int32(o.Kind), Worker: o.Worker, Addr: o.Addr, Run: int64(o.Run), Payload: o.Payload,
			Saved: o.Saved, Ticket: o.Ticket, UntilMs: o.Until, Acked: o.Acked, WaitMs: o.Wait.Milliseconds(),
			Percent: int32(o.Percent),
		}
		if o.Kind != sched.OrderHold {
			x.Task = o.Task.String()
		}
		q.Orders = append(q.Orders, x)
	}
	_, err := c.peer(addr).Give(ctx, q)
	return errs.At("give orders", addr, err)
}

// Answers fetches the answers to orders that the instance at addr carries.
func (c *Client) Answers(ctx context.Context, addr, leader string, after uint64, wait time.Duration) ([]core.NumberedAnswer, uint64, error) {
	r, err := c.peer(addr).Answers(ctx, &cellpb.AnswersRequest{Leader: leader, After: after, WaitMs: wait.Milliseconds()})
	if err != nil {
		return nil, after, errs.At("fetch answers", addr, err)
	}
	list := make([]core.NumberedAnswer, 0, len(r.Answers))
	for _, x := range r.Answers {
		a, err := numberedAnswer(x)
		if err != nil {
			return nil, after, errs.At("fetch answers", addr, err)
		}
		list = append(list, a)
	}
	return list, r.Last, nil
}

func numberedAnswer(x *cellpb.Answer) (core.NumberedAnswer, error) {
	a := core.NumberedAnswer{ID: x.Id, Answer: sched.Answer(x.Answer)}
	a.Report = sched.Report{Boot: x.Boot, Clock: time.Duration(x.ClockUs) * time.Microsecond}
	for _, v := range x.Running {
		id, err := sched.ParseTaskID(v.Task)
		if err != nil {
			return a, err
		}
		a.Report.Running = append(a.Report.Running, sched.Running{Task: id, Run: int(v.Run), Saved: v.Saved, Load: v.Load})
	}
	for _, v := range x.Ended {
		id, err := sched.ParseTaskID(v.Task)
		if err != nil {
			return a, err
		}
		a.Report.Ended = append(a.Report.Ended, sched.End{Number: v.Number, Task: id, Run: int(v.Run), Kind: sched.EndKind(v.Kind), Saved: v.Saved})
	}
	return a, nil
}
