// Command rig3 runs the scripted cases of the third review. It is called by run.sh
// of a case with the case's name and the path of its record, from the root of the
// repository. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit bounds a case.
const limit = 115 * time.Second

var cases = map[string]func(r *rig, trouble bool) (broken bool, err error){}

// deployments are those of the cases.
var deployments = map[string]deployment{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, record string) int {
	r, err := newRig(record, deployments[name])
	defer r.stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](r, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	select {
	case res := <-done:
		switch {
		case res.err != nil:
			r.note("the case could not run: %v", res.err)
			fmt.Fprintln(os.Stderr, res.err)
			return 2
		case res.broken:
			r.note("the rule was broken")
			return 1
		}
		r.note("the rule held")
		return 0
	case <-time.After(limit):
		r.note("the case could not run: it takes too long")
	case s := <-signals:
		r.note("the case could not run: %v", s)
	}
	return 2
}
