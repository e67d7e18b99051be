// Command standin runs a simulated platform, minion or worker as a separate
// process. It is for tests and trials only.
package main

import (
	"os"

	"github.com/tamaracklink/tamaracklink/internal/command/stand"
)

func main() {
	os.Exit(stand.Main(os.Args[1:], os.Stdout, os.Stderr))
}
