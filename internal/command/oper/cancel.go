package oper

import (
	"context"
	"fmt"
	"net/http"

	"github.com/go-faster/errors"
)

func runCancel(ctx context.Context, args []string, io IO) error {
	c := &call{io: io}
	f := newFlags("cancel", "cancel a job; a job of which nothing was started ends as not-run", io)
	bindCallFlags(f, c)
	bindOperatorFlag(f, c)
	domain := bindDomainFlag(f)
	id := f.String("id", "", "`name` of the job")
	if err := parseFlags(f, args, io); err != nil {
		return err
	}
	if *id == "" {
		return usageError(errors.New("-id NAME of the job to cancel is needed"))
	}
	var v jobView
	printed, err := c.do(ctx, http.MethodPost, "/v1/cancel"+domainQuery(*domain), map[string]string{"id": *id, "by": c.operator}, &v)
	if err != nil || printed {
		return err
	}
	fmt.Fprintf(io.Out, "job %s: cancellation accepted, state %s\n", *id, v.State)
	return nil
}
