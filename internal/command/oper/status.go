package oper

import (
	"context"
	"fmt"
	"net/http"
	"sort"

	"github.com/tamaracklink/tamaracklink/internal/transport/server"
)

func runStatus(ctx context.Context, args []string, io IO) error {
	c := &call{io: io}
	f := newFlags("status", "show one instance's view of the cell; each age says how old that part of the view is", io)
	bindCallFlags(f, c)
	if err := parseFlags(f, args, io); err != nil {
		return err
	}
	var s server.Status
	printed, err := c.do(ctx, http.MethodGet, "/v1/status", nil, &s)
	if err != nil || printed {
		return err
	}
	printStatus(io, s)
	return nil
}

func printStatus(io IO, s server.Status) {
	w := io.Out
	fmt.Fprintf(w, "instance %s in domain %s\n", s.Instance, s.Domain)
	fmt.Fprintf(w, "configuration: version %d, log read %d ms ago\n", s.ConfigVersion, s.ConfigReadAgeMS)
	fmt.Fprintf(w, "leader: %s, term %d, log read %d ms ago", s.Work.Leader, s.Work.Term, s.Work.LogReadAgeMS)
	if s.Work.Leading {
		fmt.Fprintf(w, "; this instance leads and may act for %d ms", s.Work.LeaderLeaseMS)
	}
	fmt.Fprintf(w, "\nwork: %d tasks running, %d waiting; jobs %s\n", s.Work.RunningTasks, s.Work.PendingTasks, counts(s.Work.Jobs))
	fmt.Fprintf(w, "requests: %d under way, waiting %s\n", s.Requests.ActiveRequests, counts(s.Requests.Waiting))
	for _, m := range s.Requests.Minions {
		fmt.Fprintf(w, "  minion %-16s  %-14s  %d of %d slots, %d unconfirmed, right for %d ms\n", m.Name, m.State, m.Busy, m.Slots, m.Orphans, m.OwnerLeaseMS)
	}
	for _, k := range s.Work.Workers {
		fmt.Fprintf(w, "  worker %-16s  %-14s  %d tasks, used %s of %s\n", k.Name, k.State, k.Tasks, k.Used, k.Capacity)
	}
	for _, p := range s.Peers {
		fmt.Fprintf(w, "  peer   %-16s  domain %s, heard %d ms ago, version %d, log read %d ms ago, leader %s term %d, %d of %d slots free, %d waiting\n",
			p.Instance, p.Domain, p.LastContactAgeMS, p.ConfigVersion, p.LogReadAgeMS, p.Leader, p.Term, p.Free, p.Slots, p.WaitingRequests)
	}
}

func counts(m map[string]int) string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	text := ""
	for _, k := range keys {
		text += fmt.Sprintf("%s %d ", k, m[k])
	}
	if text == "" {
		return "none"
	}
	return text[:len(text)-1]
}
