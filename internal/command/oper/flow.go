package oper

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/transport/flows"
)

// flowUsage lists the actions of the flow command.
const flowUsage = "flow takes one of: submit (a job as JSON on standard input), show ID, cancel ID, pending QUEUE, site (the state of the instance), check FILE (a configuration before it is written to the store; compared with the one in force if -addr is given)"

// runFlow performs one action on jobs of steps at an instance that was started
// by the site command.
func runFlow(ctx context.Context, args []string, stdio IO) error {
	c := &call{io: stdio}
	f := newFlags("flow", "submit, show and cancel jobs of steps, check a configuration; "+flowUsage, stdio)
	bindCallFlags(f, c)
	if err := parseFlags(f, args, stdio); err != nil {
		return err
	}
	verb, name := f.Arg(0), f.Arg(1)
	needsName := verb == "show" || verb == "cancel" || verb == "pending" || verb == "check"
	if needsName != (name != "") || f.NArg() > 2 {
		return usageError(errors.New(flowUsage))
	}
	switch verb {
	case "submit":
		return flowSubmit(ctx, c)
	case "show":
		return flowJob(ctx, c, http.MethodGet, name)
	case "cancel":
		return flowJob(ctx, c, http.MethodDelete, name)
	case "check":
		compare := false
		f.Visit(func(g *flag.Flag) { compare = compare || g.Name == "addr" })
		return flowCheck(ctx, c, name, compare)
	case "pending":
		var v flows.QueueView
		printed, err := c.do(ctx, http.MethodGet, "/queues/"+url.PathEscape(name), nil, &v)
		if err != nil || printed {
			return err
		}
		fmt.Fprintf(stdio.Out, "%d jobs of %s wait for their first start\n", v.PendingJobs, v.Queue)
		return nil
	case "site":
		var v flows.InstanceView
		printed, err := c.do(ctx, http.MethodGet, "/site", nil, &v)
		if err != nil || printed {
			return err
		}
		fmt.Fprintf(stdio.Out, "configuration %d with %d queues; ready %t, leads %t\n", v.ConfigVersion, len(v.Queues), v.Ready, v.Leading)
		if v.Customers != nil {
			proof := "not proven to be the newest"
			if v.ProofAgeMs != nil {
				proof = fmt.Sprintf("proven to be the newest %d ms ago", *v.ProofAgeMs)
			}
			fmt.Fprintf(stdio.Out, "%d customers; configuration %s\n", *v.Customers, proof)
		}
		return nil
	}
	return usageError(errors.New(flowUsage))
}

func flowSubmit(ctx context.Context, c *call) error {
	body, err := io.ReadAll(io.LimitReader(c.io.In, maxReplyBytes))
	if err != nil {
		return errors.Wrap(err, "read job from standard input")
	}
	spec := &flow.Spec{}
	if err := json.Unmarshal(body, spec); err != nil {
		return usageError(errors.Wrap(err, "standard input is not a job in JSON"))
	}
	if err := spec.Check(); err != nil {
		return usageError(err)
	}
	var v flows.JobView
	printed, err := c.do(ctx, http.MethodPost, "/flows", spec, &v)
	if err != nil || printed {
		return err
	}
	fmt.Fprintf(c.io.Out, "accepted: job %s is %s\n", v.ID, v.State)
	return nil
}

func flowJob(ctx context.Context, c *call, method, id string) error {
	var v flows.JobView
	printed, err := c.do(ctx, method, "/flows/"+url.PathEscape(id), nil, &v)
	if err != nil || printed {
		return err
	}
	fmt.Fprintf(c.io.Out, "job %s of %s is %s, accepted under configuration %d", v.ID, v.Queue, v.State, v.ConfigVersion)
	if v.Customer != "" {
		fmt.Fprintf(c.io.Out, " from customer %s", v.Customer)
	}
	fmt.Fprintln(c.io.Out)
	return nil
}
