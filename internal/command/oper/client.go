package oper

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/state/errs"
)

const (
	callTimeout   = 12 * time.Second
	maxReplyBytes = 64 << 20
)

// call holds the flags and the streams that the operators' commands share.
type call struct {
	addr     string
	json     bool
	operator string
	io       IO
}

func bindCallFlags(f *flag.FlagSet, c *call) {
	f.StringVar(&c.addr, "addr", "127.0.0.1:7070", "`IP:port` of an entry instance or its balancer")
	f.BoolVar(&c.json, "json", false, "print JSON with kebab-case names")
}

func bindOperatorFlag(f *flag.FlagSet, c *call) {
	f.StringVar(&c.operator, "operator", "", "your `name`, kept in the history")
}

// do sends the call and decodes the reply into v. With -json it also prints the
// reply unchanged and returns true for printed. Its errors carry the exit code.
// Without a reply that is the code for an unknown outcome, as the call may have
// been executed; for a GET, which changes nothing, it is the code for a failure.
func (c *call) do(ctx context.Context, method, path string, body, v any) (printed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var data []byte
	if body != nil {
		if data, err = json.Marshal(body); err != nil {
			return false, errors.Wrap(err, "encode call")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr+path, bytes.NewReader(data))
	if err != nil {
		return false, usageError(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, &codedError{exitCodeWithoutReply(method), errs.At(method+" "+path, c.addr, err)}
	}
	defer resp.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return false, &codedError{exitCodeWithoutReply(method), errs.At("read reply", c.addr, err)}
	}
	if c.json {
		fmt.Fprintf(c.io.Out, "%s\n", bytes.TrimSpace(reply))
	}
	if resp.StatusCode != http.StatusOK {
		return c.json, c.replyError(resp.StatusCode, reply)
	}
	return c.json, errs.At("decode reply", c.addr, json.Unmarshal(reply, v))
}

func exitCodeWithoutReply(method string) int {
	if method == http.MethodGet {
		return ExitFailed
	}
	return ExitOutcomeUnknown
}

// replyError returns an error reply as an error with its exit code.
func (c *call) replyError(status int, reply []byte) error {
	var e struct {
		Code   string   `json:"code"`
		Step   string   `json:"step"`
		Peer   string   `json:"peer"`
		Errors []string `json:"errors"`

		Result  string   `json:"result"`
		Version uint64   `json:"version"`
		Against uint64   `json:"against"`
		With    string   `json:"with"`
		Paths   []string `json:"paths"`
		Reason  string   `json:"reason"`
	}
	if json.Unmarshal(reply, &e) != nil {
		return errs.At(fmt.Sprintf("status %d", status), c.addr, errors.New(errs.Shorten(string(reply))))
	}
	code := ExitRefused
	if e.Code == "outcome-unknown" {
		code = ExitOutcomeUnknown
	}
	if e.Result != "" {
		text := fmt.Sprintf("%s at version %d: %s", e.Result, e.Version, e.Reason)
		if e.With != "" {
			text += fmt.Sprintf(" (patch %s, version %d; paths %s)", e.With, e.Against, strings.Join(e.Paths, ", "))
		}
		return &codedError{code, errors.New(text)}
	}
	return &codedError{code, errors.Errorf("%s: %s", e.Code, strings.Join(e.Errors, "\n"))}
}
