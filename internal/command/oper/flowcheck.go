package oper

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/state/check"
	"github.com/tamaracklink/tamaracklink/platform"
)

// findingView is the JSON form of a finding.
type findingView struct {
	Severity string `json:"severity"`
	Path     string `json:"path"`           // in the platform's form
	Name     string `json:"name,omitempty"` // of the entry
	Text     string `json:"text"`
}

// flowCheck prints the findings about the configuration in a file. With compare
// set, these include the differences from the configuration in force at the
// instance. Its error has the exit code ExitFailed if a finding is an error or
// the instance does not answer.
func flowCheck(ctx context.Context, c *call, file string, compare bool) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return usageError(errors.Wrap(err, "read configuration"))
	}
	var inForce *check.Config
	var callErr error
	if compare {
		v := &check.Config{}
		withoutJSON := &call{addr: c.addr, io: c.io}
		if _, callErr = withoutJSON.do(ctx, http.MethodGet, "/flows-config", nil, v); callErr == nil {
			inForce = v
		}
	}
	views, faults := []findingView{}, 0
	for _, f := range platform.CheckConfig(data, inForce) {
		if f.Severity == check.Error {
			faults++
		}
		views = append(views, findingView{f.Severity.String(), platform.FindingPath(f), f.Name, f.Text})
	}
	if err := printFindings(c, views); err != nil {
		return err
	}
	switch {
	case callErr != nil:
		return &codedError{ExitFailed, errors.Wrap(callErr, "read configuration in force")}
	case faults > 0:
		return &codedError{ExitFailed, errors.Errorf("%s has %d errors", file, faults)}
	}
	return nil
}

func printFindings(c *call, views []findingView) error {
	if c.json {
		data, err := json.Marshal(views)
		if err != nil {
			return errors.Wrap(err, "encode findings")
		}
		fmt.Fprintf(c.io.Out, "%s\n", data)
		return nil
	}
	for _, v := range views {
		where := v.Path
		if v.Name != "" {
			where += fmt.Sprintf(" (%s)", v.Name)
		}
		if where != "" {
			where += ": "
		}
		fmt.Fprintf(c.io.Out, "%-7s  %s%s\n", v.Severity, where, v.Text)
	}
	if len(views) == 0 {
		fmt.Fprintln(c.io.Out, "no findings")
	}
	return nil
}
