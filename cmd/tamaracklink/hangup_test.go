package main_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/command/oper"
)

// TestHangupDuringStartDoesNotEndProcess guards against a process that ends
// because SIGHUP, which announces changed settings, arrives while it starts. The
// settings file is a FIFO, so that the process is known to wait for its settings
// when the signal is sent. The settings are wrong, so the process then ends by
// itself with a usage error.
func TestHangupDuringStartDoesNotEndProcess(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	program, settings := filepath.Join(dir, "tamaracklink"), filepath.Join(dir, "boot.toml")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("build tamaracklink: %v\n%s", err, out)
	}
	is.NoErr(syscall.Mkfifo(settings, 0o600))
	cmd := exec.Command(program, "site")
	cmd.Env = append(os.Environ(), "TAMARACKLINK_NODE_FILE="+settings)
	is.NoErr(cmd.Start())
	defer func() { _ = cmd.Process.Kill() }()

	f, err := os.OpenFile(settings, os.O_WRONLY, 0) // returns when the process has opened the file
	is.NoErr(err)
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	_, err = f.WriteString("node_name = 7\n")
	is.NoErr(err)
	is.NoErr(f.Close())

	var exit *exec.ExitError
	is.True(errors.As(cmd.Wait(), &exit))
	is.Equal(exit.ExitCode(), oper.ExitUsage) // -1 if a signal ended the process
}
