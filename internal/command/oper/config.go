package oper

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/state/config"
)

type configView struct {
	Version  uint64          `json:"version"`
	Newest   uint64          `json:"newest"`
	Document json.RawMessage `json:"config"`
}

func runConfig(ctx context.Context, args []string, io IO) error {
	c := &call{io: io}
	f := newFlags("config", "show a version, the history (-history), or what changed between two versions (-from A -to B)", io)
	bindCallFlags(f, c)
	version := f.Int64("version", -1, "`version` to show; the newest when not given")
	history := f.Bool("history", false, "show who changed what, and when")
	from := f.Int64("from", -1, "with -to: show what changed from this `version` on")
	to := f.Int64("to", -1, "with -from: show what changed up to this `version`")
	if err := parseFlags(f, args, io); err != nil {
		return err
	}
	if (*from < 0) != (*to < 0) {
		return usageError(errors.New("-from VERSION and -to VERSION must be given together"))
	}
	switch {
	case *history:
		return showHistory(ctx, c)
	case *from >= 0:
		return showDiff(ctx, c, *from, *to)
	}
	return showVersion(ctx, c, *version)
}

func getVersion(ctx context.Context, c *call, version int64) (configView, bool, error) {
	path := "/v1/config"
	if version >= 0 {
		path = fmt.Sprintf("/v1/config?version=%d", version)
	}
	var v configView
	printed, err := c.do(ctx, http.MethodGet, path, nil, &v)
	return v, printed, err
}

func showVersion(ctx context.Context, c *call, version int64) error {
	v, printed, err := getVersion(ctx, c, version)
	if err != nil || printed {
		return err
	}
	fmt.Fprintf(c.io.Out, "version %d (newest is %d)\n%s\n", v.Version, v.Newest, indent(v.Document))
	return nil
}

func indent(doc []byte) string {
	var b bytes.Buffer
	if json.Indent(&b, doc, "", "  ") != nil {
		return string(doc)
	}
	return b.String()
}

func showHistory(ctx context.Context, c *call) error {
	var h struct {
		Changes []config.Change `json:"changes"`
	}
	printed, err := c.do(ctx, http.MethodGet, "/v1/history", nil, &h)
	if err != nil || printed {
		return err
	}
	for _, ch := range h.Changes {
		when := time.UnixMilli(ch.AtMs).UTC().Format(time.RFC3339)
		fmt.Fprintf(c.io.Out, "%6d  %s  %-16s  %s  %s\n", ch.Version, when, ch.Operator, ch.ID, ch.Change)
	}
	return nil
}

// showDiff prints the JSON merge patch from one version to the other. Without
// -json it also prints the paths that differ.
func showDiff(ctx context.Context, c *call, from, to int64) error {
	noJSON := &call{addr: c.addr, io: c.io}
	a, _, err := getVersion(ctx, noJSON, from)
	if err != nil {
		return err
	}
	b, _, err := getVersion(ctx, noJSON, to)
	if err != nil {
		return err
	}
	diff, err := jsonpatch.CreateMergePatch(a.Document, b.Document)
	if err != nil {
		return errors.Wrap(err, "compare versions")
	}
	if c.json {
		fmt.Fprintf(c.io.Out, "%s\n", diff)
		return nil
	}
	var d map[string]any
	if err := json.Unmarshal(diff, &d); err != nil {
		return errors.Wrap(err, "decode difference")
	}
	paths := config.ChangedPaths(d)
	sort.Strings(paths)
	fmt.Fprintf(c.io.Out, "%d paths differ between version %d and version %d\n", len(paths), from, to)
	for _, p := range paths {
		fmt.Fprintf(c.io.Out, "  %s\n", config.FormatPath(p))
	}
	fmt.Fprintln(c.io.Out, indent(diff))
	return nil
}
