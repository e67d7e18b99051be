package oper

import (
	"context"
	"fmt"
	"net/http"
	"sort"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

func runMembers(ctx context.Context, args []string, io IO) error {
	c := &call{io: io}
	f := newFlags("members", "list a domain's members; -dead declares one dead: do so only after its process has certainly ended", io)
	bindCallFlags(f, c)
	bindOperatorFlag(f, c)
	domain := bindDomainFlag(f)
	dead := f.String("dead", "", "`member` whose process has certainly ended")
	if err := parseFlags(f, args, io); err != nil {
		return err
	}
	var v struct {
		Members map[string]work.Member `json:"members"`
	}
	var printed bool
	var err error
	switch {
	case *dead == "":
		printed, err = c.do(ctx, http.MethodGet, "/v1/members"+domainQuery(*domain), nil, &v)
	case c.operator == "":
		return usageError(errors.New("-dead needs -operator NAME too"))
	default:
		printed, err = c.do(ctx, http.MethodPost, "/v1/bury"+domainQuery(*domain), map[string]string{"member": *dead, "by": c.operator}, &v)
	}
	if err != nil || printed {
		return err
	}
	ids := make([]string, 0, len(v.Members))
	for id := range v.Members {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		m := v.Members[id]
		fmt.Fprintf(io.Out, "%-48s  %-16s  %-21s  counted %v, dead %v\n", id, m.Instance, m.Addr, m.Acked, m.Dead)
	}
	return nil
}
