package oper

import (
	"context"
	"fmt"
	"runtime/debug"
)

// version is the version of this source tree.
const version = "0.1.0"

func runVersion(_ context.Context, args []string, io IO) error {
	f := newFlags("version", "print the version", io)
	if err := parseFlags(f, args, io); err != nil {
		return err
	}
	built := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		built = " " + info.GoVersion
	}
	fmt.Fprintf(io.Out, "tamaracklink %s%s\n", version, built)
	return nil
}
