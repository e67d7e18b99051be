// Command rig2 plays the cases of an independent review against the project's
// own processes. Platform, minions and requesters are stand-ins in this process.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
)

// result is what a case has shown.
type result struct {
	broken bool
	why    string
}

var cases = map[string]func(s *rig) (result, error){
	"flaps": flaps,
	"fills": fills,
	"gangs": gangs,
	"times": times,
}

// rig is what a case gets.
type rig struct {
	rec     *recorder
	run     string // command of an instance
	trouble bool
	logs    string // folder to which the logs of the instances are copied, empty for none
}

func main() {
	name := flag.String("case", "", "name of the case")
	run := flag.String("run", "target/tamaracklink site", "command of an instance, as in the deploy file")
	record := flag.String("record", "record.txt", "file of the record")
	logs := flag.String("logs", "", "folder for the logs of the instances")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "rig2: unknown case")
		os.Exit(2)
	}
	f, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
		os.Exit(2)
	}
	// Processes are ended when the thread that has started them ends.
	runtime.LockOSThread()
	rec := newRecorder(io.Writer(f))
	r, err := play(&rig{rec: rec, run: *run, trouble: os.Getenv("TROUBLE") != "0", logs: *logs})
	switch {
	case err != nil:
		rec.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case r.broken:
		rec.note("BROKEN: %s", r.why)
		fmt.Println("broken:", r.why)
		os.Exit(1)
	}
	rec.note("HELD: %s", r.why)
	fmt.Println("held:", r.why)
}
