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

// Give starts to execute a leader's orders and returns at once. A task ID that
// can't be parsed is an error, and then none of the orders is executed.
func (s *Server) Give(_ context.Context, req *cellpb.GiveRequest) (*cellpb.GiveReply, error) {
	orders := make([]core.NumberedOrder, 0, len(req.Orders))
	for _, msg := range req.Orders {
		order := core.NumberedOrder{ID: msg.Id, Order: sched.Order{
			Kind: sched.OrderKind(msg.Kind), Worker: msg.Worker, Addr: msg.Addr, Run: int(msg.Run), Payload: msg.Payload,
			Checkpoint: msg.Saved, Ticket: msg.Ticket, LeaseExpiry: msg.UntilMs, AckedEnd: msg.Acked, Wait: time.Duration(msg.WaitMs) * time.Millisecond,
			SpeedPercent: int(msg.Percent),
		}}
		if msg.Task != "" {
			task, err := sched.ParseTaskID(msg.Task)
			if err != nil {
				return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
			}
			order.Task = task
		}
		orders = append(orders, order)
	}
	s.Core.RelayOrders(req.Leader, req.Term, orders)
	return &cellpb.GiveReply{}, nil
}

// Answers returns the answers to a leader's orders after a given number. It waits
// up to the given time for the first.
func (s *Server) Answers(ctx context.Context, req *cellpb.AnswersRequest) (*cellpb.AnswersReply, error) {
	list, last := s.Core.AwaitAnswers(ctx, req.Leader, req.After, time.Duration(req.WaitMs)*time.Millisecond, time.Duration(req.GatherMs)*time.Millisecond)
	reply := &cellpb.AnswersReply{Last: last}
	for _, a := range list {
		msg := &cellpb.Answer{Id: a.ID, Answer: int32(a.Answer), Boot: a.Report.Incarnation, ClockUs: a.Report.Clock.Microseconds()}
		for _, entry := range a.Report.Running {
			msg.Running = append(msg.Running, &cellpb.Running{Task: entry.Task.String(), Run: int64(entry.Run), Saved: entry.Checkpoint, Load: entry.Load})
		}
		for _, entry := range a.Report.Ended {
			msg.Ended = append(msg.Ended, &cellpb.End{Number: entry.Number, Task: entry.Task.String(), Run: int64(entry.Run), Kind: int32(entry.Kind), Saved: entry.Checkpoint})
		}
		reply.Answers = append(reply.Answers, msg)
	}
	return reply, nil
}

// SendOrders sends orders to the instance at addr, which relays them to the
// workers.
func (c *Client) SendOrders(ctx context.Context, addr, leader string, term int64, orders []core.NumberedOrder) error {
	req := &cellpb.GiveRequest{Leader: leader, Term: term}
	for _, o := range orders {
		msg := &cellpb.Order{
			Id: o.ID, Kind: int32(o.Kind), Worker: o.Worker, Addr: o.Addr, Run: int64(o.Run), Payload: o.Payload,
			Saved: o.Checkpoint, Ticket: o.Ticket, UntilMs: o.LeaseExpiry, Acked: o.AckedEnd, WaitMs: o.Wait.Milliseconds(),
			Percent: int32(o.SpeedPercent),
		}
		if o.Kind != sched.OrderPoll {
			msg.Task = o.Task.String()
		}
		req.Orders = append(req.Orders, msg)
	}
	_, err := c.client(addr).Give(ctx, req)
	return errs.At("give orders", addr, err)
}

// FetchAnswers returns the answers after number after to orders that were sent to
// the instance at addr, and the number of the last one returned. It waits up to
// wait for the first, and gathers further ones for the given time. With an error
// it returns after unchanged.
func (c *Client) FetchAnswers(ctx context.Context, addr, leader string, after uint64, wait, gather time.Duration) ([]core.NumberedAnswer, uint64, error) {
	reply, err := c.client(addr).Answers(ctx, &cellpb.AnswersRequest{Leader: leader, After: after, WaitMs: wait.Milliseconds(), GatherMs: gather.Milliseconds()})
	if err != nil {
		return nil, after, errs.At("fetch answers", addr, err)
	}
	list := make([]core.NumberedAnswer, 0, len(reply.Answers))
	for _, msg := range reply.Answers {
		a, err := fromAnswer(msg)
		if err != nil {
			return nil, after, errs.At("fetch answers", addr, err)
		}
		list = append(list, a)
	}
	return list, reply.Last, nil
}

func fromAnswer(msg *cellpb.Answer) (core.NumberedAnswer, error) {
	a := core.NumberedAnswer{ID: msg.Id, Answer: sched.Answer(msg.Answer)}
	a.Report = sched.Report{Incarnation: msg.Boot, Clock: time.Duration(msg.ClockUs) * time.Microsecond}
	for _, entry := range msg.Running {
		task, err := sched.ParseTaskID(entry.Task)
		if err != nil {
			return a, err
		}
		a.Report.Running = append(a.Report.Running, sched.Running{Task: task, Run: int(entry.Run), Checkpoint: entry.Saved, Load: entry.Load})
	}
	for _, entry := range msg.Ended {
		task, err := sched.ParseTaskID(entry.Task)
		if err != nil {
			return a, err
		}
		a.Report.Ended = append(a.Report.Ended, sched.End{Number: entry.Number, Task: task, Run: int(entry.Run), Kind: sched.EndKind(entry.Kind), Checkpoint: entry.Saved})
	}
	return a, nil
}
