// Package stand implements the command line of the stand-ins. Each runs a
// simulated platform, minion or worker as a separate process. They are for tests
// and trials only.
package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/standin/httpd"
	"github.com/tamaracklink/tamaracklink/internal/standin/minion"
	"github.com/tamaracklink/tamaracklink/internal/standin/platf"
	"github.com/tamaracklink/tamaracklink/internal/standin/worker"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

const (
	exitFailed  = 1
	exitUsage   = 2
	callTimeout = 5 * time.Second
)

const usage = `standin runs a simulated platform, minion or worker for tests and trials.

Usage: standin platform|minion|worker|list [flags]; -h after one of these lists its flags.
list adds an instance to the platform's list, changes it there or removes it.
`

// Main runs the stand-in named by args[0] until SIGINT or SIGTERM, and returns
// the exit code.
func Main(args []string, out, errOut io.Writer) int {
	kinds := map[string]func(ctx context.Context, f *flag.FlagSet, args []string, out io.Writer) error{
		"platform": runPlatform, "minion": runMinion, "worker": runWorker, "list": runList,
	}
	if len(args) == 0 || kinds[args[0]] == nil {
		fmt.Fprint(errOut, usage)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	f := flag.NewFlagSet(args[0], flag.ContinueOnError)
	f.SetOutput(errOut)
	err := kinds[args[0]](ctx, f, args[1:], out)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintf(errOut, "standin %s: %v\n", args[0], err)
		return exitFailed
	}
	return 0
}

func runPlatform(ctx context.Context, f *flag.FlagSet, args []string, out io.Writer) error {
	listen := f.String("listen", "127.0.0.1:7000", "`IP:port`")
	lag := f.Duration("lag", time.Second, "time until a change of the list of instances is visible")
	keep := f.Int("keep", 100000, "records kept in each stream")
	if err := f.Parse(args); err != nil {
		return err
	}
	p := platf.New(*lag, *keep)
	s, err := httpd.Start(*listen, &http.Server{Handler: p.Handler()})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "platform on %s\n", s.Addr)
	<-ctx.Done()
	s.Close()
	return nil
}

// registration is an entry in the platform's list of instances, with the
// platform's address.
type registration struct {
	platform string
	instance platf.Instance
}

func bindRegistrationFlags(f *flag.FlagSet, reg *registration) {
	f.StringVar(&reg.platform, "platform", "127.0.0.1:7000", "`IP:port` of the platform")
	f.StringVar(&reg.instance.Name, "name", "", "name in the platform's list")
	f.StringVar(&reg.instance.Domain, "domain", "", "failure domain")
	f.StringVar(&reg.instance.Rack, "rack", "", "rack")
	reg.instance.State = "live"
}

func (reg *registration) send(method string) error {
	body, err := json.Marshal(reg.instance)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+reg.platform+"/instances/"+reg.instance.Name, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// registerUntilDone adds the stand-in to the platform's list, waits until ctx
// ends, closes the server, and removes the stand-in from the list.
func (reg *registration) registerUntilDone(ctx context.Context, s *httpd.Server, out io.Writer) error {
	reg.instance.Addr = s.Addr
	if err := reg.send(http.MethodPut); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s %s on %s\n", reg.instance.Kind, reg.instance.Name, s.Addr)
	<-ctx.Done()
	s.Close()
	return reg.send(http.MethodDelete)
}

func runMinion(ctx context.Context, f *flag.FlagSet, args []string, out io.Writer) error {
	reg := &registration{}
	bindRegistrationFlags(f, reg)
	listen := f.String("listen", "127.0.0.1:0", "`IP:port`")
	speed := f.Float64("speed", 1, "speed; 2 answers in half the time")
	f.IntVar(&reg.instance.Slots, "slots", 8, "requests at a time")
	if err := f.Parse(args); err != nil {
		return err
	}
	reg.instance.Kind = "minion"
	m := minion.New(minion.Config{Name: reg.instance.Name, Speed: *speed})
	s, err := httpd.Start(*listen, m.Server())
	if err != nil {
		return err
	}
	return reg.registerUntilDone(ctx, s, out)
}

func runWorker(ctx context.Context, f *flag.FlagSet, args []string, out io.Writer) error {
	reg := &registration{}
	bindRegistrationFlags(f, reg)
	listen := f.String("listen", "127.0.0.1:0", "`IP:port`; with -count a free port is taken for each")
	count := f.Int("count", 1, "workers in this process, named NAME-1, NAME-2, ... when there are several")
	f.Int64Var(&reg.instance.Capacity.CPU, "cpu", 32000, "processor, in thousandths of a core")
	f.Int64Var(&reg.instance.Capacity.Memory, "memory", 64<<10, "memory, in MiB")
	f.Int64Var(&reg.instance.Capacity.Accelerators, "accelerators", 0, "accelerators, in devices")
	if err := f.Parse(args); err != nil {
		return err
	}
	reg.instance.Kind = "worker"
	name := reg.instance.Name
	for n := 1; n < *count; n++ {
		other := *reg
		other.instance.Name = fmt.Sprintf("%s-%d", name, n)
		go func() {
			if err := serveWorker(ctx, &other, "127.0.0.1:0", out); err != nil {
				fmt.Fprintln(out, err)
			}
		}()
	}
	if *count > 1 {
		reg.instance.Name = fmt.Sprintf("%s-%d", name, *count)
	}
	return serveWorker(ctx, reg, *listen, out)
}

func serveWorker(ctx context.Context, reg *registration, listen string, out io.Writer) error {
	w := worker.New(worker.Config{Name: reg.instance.Name, Capacity: work.Size(reg.instance.Capacity)})
	defer w.Close()
	s, err := httpd.Start(listen, &http.Server{Handler: w.Handler()})
	if err != nil {
		return err
	}
	return reg.registerUntilDone(ctx, s, out)
}

// runList adds, changes or removes an entry of the platform's list, as the
// platform itself does for entry instances.
func runList(_ context.Context, f *flag.FlagSet, args []string, _ io.Writer) error {
	reg := &registration{}
	bindRegistrationFlags(f, reg)
	f.StringVar(&reg.instance.Kind, "kind", "entry", "entry, minion or worker")
	f.StringVar(&reg.instance.Addr, "addr", "", "`IP:port` of the instance")
	f.StringVar(&reg.instance.State, "state", "live", "live or leaving")
	remove := f.Bool("remove", false, "take the instance off the list")
	if err := f.Parse(args); err != nil {
		return err
	}
	if *remove {
		return reg.send(http.MethodDelete)
	}
	return reg.send(http.MethodPut)
}
