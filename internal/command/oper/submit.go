package oper

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

type jobView struct {
	State string   `json:"state"`
	Job   work.Job `json:"job"`
}

func bindDomainFlag(f *flag.FlagSet) *string {
	return f.String("domain", "", "failure `domain`; empty means that of the instance asked")
}

func domainQuery(domain string) string {
	if domain == "" {
		return ""
	}
	return "?domain=" + url.QueryEscape(domain)
}

func runSubmit(ctx context.Context, args []string, io IO) error {
	c := &call{io: io}
	f := newFlags("submit", "submit a job; repeating it with the same -id is safe", io)
	bindCallFlags(f, c)
	domain := bindDomainFlag(f)
	spec := work.JobSpec{}
	f.StringVar(&spec.ID, "id", "", "`name` of the job, unique in its domain; random when empty")
	f.StringVar(&spec.Tenant, "tenant", "", "tenant that the job belongs to")
	f.StringVar(&spec.Kind, "kind", work.KindBatch, "batch, gang or service")
	f.StringVar(&spec.Class, "class", work.ClassNormal, "urgent, normal or patient")
	f.IntVar(&spec.Tasks, "tasks", 1, "number of tasks")
	f.Int64Var(&spec.Size.CPU, "cpu", 1000, "processor of each task, in thousandths of a core")
	f.Int64Var(&spec.Size.Memory, "memory", 256, "memory of each task, in MiB")
	f.Int64Var(&spec.Size.Accelerators, "accelerators", 0, "accelerators of each task, in devices")
	f.Int64Var(&spec.RunMs, "run", 0, "declared run time of each task, in milliseconds")
	f.IntVar(&spec.Retries, "retries", 2, "further attempts of a task after a failure")
	f.StringVar(&spec.Command, "command", "", "what the worker runs")
	if err := parseFlags(f, args, io); err != nil {
		return err
	}
	if spec.ID == "" {
		spec.ID = "job-" + randomID()
	}
	if err := spec.Check("submit job", "operator"); err != nil {
		return usageError(err)
	}
	var v jobView
	printed, err := c.do(ctx, http.MethodPost, "/v1/jobs"+domainQuery(*domain), spec, &v)
	if err != nil {
		return errors.Wrapf(err, "job %s", spec.ID)
	}
	if printed {
		return nil
	}
	fmt.Fprintf(io.Out, "accepted: job %s is %s\n", spec.ID, v.State)
	return nil
}
