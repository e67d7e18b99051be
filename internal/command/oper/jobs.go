package oper

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
)

func runJobs(ctx context.Context, args []string, io IO) error {
	c := &call{io: io}
	f := newFlags("jobs", "list a domain's jobs, or show one with its tasks (-id)", io)
	bindCallFlags(f, c)
	domain := bindDomainFlag(f)
	id := f.String("id", "", "`name` of one job")
	if err := parseFlags(f, args, io); err != nil {
		return err
	}
	if *id != "" {
		return showJob(ctx, c, *domain, *id)
	}
	var v struct {
		Jobs []jobView `json:"jobs"`
	}
	printed, err := c.do(ctx, http.MethodGet, "/v1/jobs"+domainQuery(*domain), nil, &v)
	if err != nil || printed {
		return err
	}
	fmt.Fprintf(io.Out, "%-32s  %-8s  %-8s  %-10s  %-12s  %s\n", "JOB", "KIND", "CLASS", "STATE", "RUNNING", "WHY")
	for _, j := range v.Jobs {
		tasks := fmt.Sprintf("%d of %d", j.Job.Assigned, j.Job.Spec.Tasks)
		fmt.Fprintf(io.Out, "%-32s  %-8s  %-8s  %-10s  %-12s  %s\n", j.Job.Spec.ID, j.Job.Spec.Kind, j.Job.Spec.Class, j.State, tasks, j.Job.Reason)
	}
	return nil
}

func showJob(ctx context.Context, c *call, domain, id string) error {
	q := url.Values{}
	q.Set("id", id)
	if domain != "" {
		q.Set("domain", domain)
	}
	var v jobView
	printed, err := c.do(ctx, http.MethodGet, "/v1/job?"+q.Encode(), nil, &v)
	if err != nil || printed {
		return err
	}
	fmt.Fprintf(c.io.Out, "job %s (%s, %s, tenant %s): %s %s\n", id, v.Job.Spec.Kind, v.Job.Spec.Class, v.Job.Spec.Tenant, v.State, v.Job.Reason)
	for i, t := range v.Job.Tasks {
		fmt.Fprintf(c.io.Out, "  task %d: %s, attempt %d, failures %d, worker %s\n", i, t.State, t.Attempt, t.FailedAttempts, t.Worker)
	}
	return nil
}
