package oper

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/go-faster/errors"
)

// Exit codes.
const (
	ExitOK             = 0
	ExitFailed         = 1 // the call failed, or a check of try did
	ExitUsage          = 2 // wrong flags, arguments or settings
	ExitRefused        = 3 // the call was refused: a conflict, a taken name, an unknown job
	ExitOutcomeUnknown = 4 // the outcome is unknown; repeating the same call is safe
	envPrefix          = "TAMARACKLINK_"
	usageTrailer       = "\nExit codes: 0 done, 1 failed, 2 bad usage or settings, 3 refused, 4 outcome unknown.\nFlags of all commands but site can also be set by environment variables: TAMARACKLINK_ and the flag's name in capitals, with _ for -, for example TAMARACKLINK_ADDR.\n"
)

// IO holds a command's input, outputs and environment.
type IO struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	Env []string // NAME=value
}

// Stdio returns the standard streams and the environment of the process.
func Stdio() IO { return IO{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Env: os.Environ()} }

// command is a subcommand.
type command struct {
	name    string
	summary string
	run     func(ctx context.Context, args []string, io IO) error
}

func commands() []command {
	return []command{
		{"serve", "run an entry instance, configured by flags", runServe},
		{"site", "run an instance for jobs of steps on the users' platform, configured by its settings file", runSite},
		{"flow", "submit, show and cancel jobs of steps at an instance started by site, or check a configuration", runFlow},
		{"patch", "submit a patch against a numbered version of the configuration", runPatch},
		{"config", "show a version, the history, or what changed between two versions", runConfig},
		{"submit", "submit a job", runSubmit},
		{"cancel", "cancel a job", runCancel},
		{"jobs", "list jobs or show one", runJobs},
		{"status", "show instances, versions, leaders, workers, minions and queues", runStatus},
		{"members", "list a domain's members, or declare one dead", runMembers},
		{"try", "run a small cell in one process, cause failures, and check its guarantees", runTry},
		{"version", "print the version", runVersion},
	}
}

// codedError is an error with the exit code that it causes.
type codedError struct {
	code int
	err  error
}

func (e *codedError) Error() string { return e.err.Error() }
func (e *codedError) Unwrap() error { return e.err }

func usageError(err error) error { return &codedError{ExitUsage, err} }

// Main runs the subcommand named by args[0] and returns the exit code. It
// cancels the subcommand's context on SIGINT and SIGTERM.
func Main(args []string, io IO) int {
	if len(args) == 0 || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		printUsage(io.Out)
		if len(args) == 0 {
			return ExitUsage
		}
		return ExitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range commands() {
		if c.name == args[0] {
			return exitCode(c.name, c.run(ctx, args[1:], io), io)
		}
	}
	fmt.Fprintf(io.Err, "tamaracklink: unknown command %q; see tamaracklink -h\n", args[0])
	return ExitUsage
}

func exitCode(name string, err error, io IO) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	for _, line := range strings.Split(err.Error(), "\n") {
		fmt.Fprintf(io.Err, "tamaracklink %s: %s\n", name, line)
	}
	var coded *codedError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitFailed
}

func printUsage(w io.Writer) {
	fmt.Fprint(w, "tamaracklink schedules services, batch and gang jobs and carries requests to minions.\n\nUsage: tamaracklink COMMAND [flags]; -h after a command lists its flags.\n\n")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-8s  %s\n", c.name, c.summary)
	}
	fmt.Fprint(w, usageTrailer)
}
