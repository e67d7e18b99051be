package oper

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/state/errs"

	"github.com/tamaracklink/tamaracklink/internal/state/config"
	"github.com/tamaracklink/tamaracklink/internal/state/strict"
)

func runPatch(ctx context.Context, args []string, io IO) error {
	c := &call{io: io}
	f := newFlags("patch", "submit a JSON merge patch (RFC 7386) against a version of the configuration; prints accepted as version N, or the patch that it conflicts with", io)
	bindCallFlags(f, c)
	bindOperatorFlag(f, c)
	base := f.Int64("base", -1, "`version` that the patch was written against")
	file := f.String("file", "-", "file with the patch; - is standard input")
	id := f.String("id", "", "patch `id`; give the same one to repeat a patch whose outcome is unknown")
	undo := f.Uint64("undo", 0, "instead of a file: undo this `version`, as a new patch")
	if err := parseFlags(f, args, io); err != nil {
		return err
	}
	change, err := readChange(ctx, c, *file, *undo)
	if err != nil {
		return err
	}
	if *base < 0 || c.operator == "" {
		return usageError(errors.New("-base VERSION and -operator NAME are needed; tamaracklink config prints the newest version"))
	}
	if *id == "" {
		*id = randomID()
	}
	body := map[string]any{"id": *id, "operator": c.operator, "base": *base, "change": json.RawMessage(change)}
	var v config.Verdict
	printed, err := c.do(ctx, http.MethodPost, "/v1/patches", body, &v)
	if err != nil {
		return errors.Wrapf(err, "patch %s", *id)
	}
	if !printed {
		fmt.Fprintf(io.Out, "accepted as version %d (patch %s)\n", v.Version, *id)
	}
	return nil
}

// readChange returns the patch to submit. Its errors carry the exit code.
func readChange(ctx context.Context, c *call, file string, undo uint64) ([]byte, error) {
	if undo > 0 {
		return fetchReverse(ctx, c, undo)
	}
	data, err := readInput(c.io.In, file)
	if err != nil {
		return nil, usageError(err)
	}
	if err := strict.Check(data); err != nil {
		return nil, usageError(errs.At("read patch", file, err))
	}
	return data, nil
}

func readInput(in io.Reader, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(in)
	}
	return os.ReadFile(file)
}

func fetchReverse(ctx context.Context, c *call, version uint64) ([]byte, error) {
	noJSON := &call{addr: c.addr, io: c.io}
	var h struct {
		Changes []config.Change `json:"changes"`
	}
	if _, err := noJSON.do(ctx, http.MethodGet, "/v1/history", nil, &h); err != nil {
		return nil, err
	}
	for _, ch := range h.Changes {
		if ch.Version == version {
			return ch.Inverse, nil
		}
	}
	return nil, usageError(errors.Errorf("version %d is not in the history that the instance keeps", version))
}

func randomID() string {
	var b [8]byte
	// Read of crypto/rand never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
