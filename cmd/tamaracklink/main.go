// Command tamaracklink runs an entry instance and is the operators' command line.
package main

import (
	"os"

	"github.com/tamaracklink/tamaracklink/internal/command/oper"
)

func main() {
	os.Exit(oper.Main(os.Args[1:], oper.Stdio()))
}
