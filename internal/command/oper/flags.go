package oper

import (
	"flag"
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/state/errs"
)

// newFlags returns a flag set that returns its errors instead of exiting.
func newFlags(name, summary string, io IO) *flag.FlagSet {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(io.Out)
	f.Usage = func() {
		fmt.Fprintf(f.Output(), "tamaracklink %s: %s\n\n", name, summary)
		f.PrintDefaults()
	}
	return f
}

// parseFlags sets the flags from args, and those that args do not set from the
// environment. An unknown environment variable with the prefix of this program
// is an error. The error names the first wrong flag in args and every wrong
// variable.
func parseFlags(f *flag.FlagSet, args []string, io IO) error {
	discarded := &strings.Builder{}
	f.SetOutput(discarded)
	err := f.Parse(args)
	f.SetOutput(io.Out)
	if errors.Is(err, flag.ErrHelp) {
		f.Usage()
		return err
	}
	problems := &errs.List{}
	if err != nil {
		problems.Add(errs.Error{Step: "read flags", Peer: "operator", Err: err})
	}
	given := map[string]bool{}
	f.Visit(func(g *flag.Flag) { given[g.Name] = true })
	for _, e := range io.Env {
		name, value, _ := strings.Cut(e, "=")
		if strings.HasPrefix(name, envPrefix) {
			setFromEnv(f, problems, given, name, value)
		}
	}
	if err := problems.Err(); err != nil {
		return usageError(err)
	}
	return nil
}

// isShared reports whether a flag's variable is accepted in the environment of
// any command, even one without the flag: operators set these variables once for
// all commands.
func isShared(name string) bool {
	for _, g := range settingFlagNames() {
		if g == name {
			return true
		}
	}
	return name == "addr" || name == "operator" || name == "json"
}

func setFromEnv(f *flag.FlagSet, problems *errs.List, given map[string]bool, env, value string) {
	name := strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(env, envPrefix)), "_", "-")
	flagDef := f.Lookup(name)
	switch {
	case flagDef == nil && isShared(name):
	case flagDef == nil:
		problems.Add(errs.Error{Step: "read environment", Peer: "operator", Path: env, Value: value, Allowed: "TAMARACKLINK_ and the name of a flag of this command in capitals, with _ for -"})
	case given[name]:
	default:
		if err := f.Set(name, value); err != nil {
			problems.Add(errs.Error{Step: "read environment", Peer: "operator", Path: env, Value: value, Allowed: flagDef.Usage, Err: err})
		}
	}
}
