package cell

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/standin/httpd"
	"github.com/tamaracklink/tamaracklink/internal/standin/minion"
	"github.com/tamaracklink/tamaracklink/internal/standin/pipes"
	"github.com/tamaracklink/tamaracklink/internal/standin/platf"
	"github.com/tamaracklink/tamaracklink/internal/standin/worker"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
	"github.com/tamaracklink/tamaracklink/internal/transport/server"
	"github.com/tamaracklink/tamaracklink/platform"
)

// Config configures a Cell.
type Config struct {
	Domains         []string
	Instances       int             // in each domain
	Workers         int             // in each domain
	Minions         int             // in each domain
	Capacity        work.Size       // capacity of each worker
	ListLag         time.Duration   // delay until a change shows in the platform's list
	RetainedRecords int             // number of records that each stream retains
	Settings        server.Settings // of each instance; name, domain and addresses are filled in
	Network         *pipes.Network  // nil means loopback TCP
	Logger          zerolog.Logger
}

// Instance is one running entry instance.
type Instance struct {
	Name   string
	Domain string
	Addr   string
	server *server.Instance
	cancel context.CancelFunc
}

// Cell is a running cell.
type Cell struct {
	cfg          Config
	Oracle       *Oracle
	Platform     *platf.Platform
	Workers      map[string]*worker.Worker
	Minions      map[string]*minion.Minion
	servers      []*httpd.Server
	platformAddr string

	stop chan struct{} // closed by Close
	wg   sync.WaitGroup

	mu        sync.Mutex // guards instances
	instances map[string]*Instance
}

// Start starts a cell and returns it once all its parts listen. The caller must
// close it.
func Start(cfg Config) (*Cell, error) {
	c := &Cell{
		cfg: cfg, Oracle: NewOracle(), Platform: platf.New(cfg.ListLag, cfg.RetainedRecords), Workers: map[string]*worker.Worker{},
		Minions: map[string]*minion.Minion{}, instances: map[string]*Instance{}, stop: make(chan struct{}),
	}
	addr, err := c.serve(ZonePlatform, &http.Server{Handler: c.Platform.Handler()})
	if err != nil {
		return nil, err
	}
	c.platformAddr = addr
	for _, domain := range cfg.Domains {
		if err := c.startDomain(domain); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// ZonePlatform is the platform's zone in the in-memory network. All other parts
// are in a zone named after their failure domain, and each instance is also in
// a zone of its own name.
const ZonePlatform = "platform"

// serve starts a stand-in's server in a zone and returns its address.
func (c *Cell) serve(zone string, s *http.Server) (string, error) {
	l, err := c.listen("127.0.0.1:0", zone)
	if err != nil {
		return "", err
	}
	server := httpd.Serve(l, s)
	c.servers = append(c.servers, server)
	return server.Addr, nil
}

func (c *Cell) listen(addr string, zones ...string) (net.Listener, error) {
	if c.cfg.Network == nil {
		return net.Listen("tcp", addr)
	}
	if addr == "127.0.0.1:0" {
		addr = ""
	}
	return c.cfg.Network.Listen(addr, zones...)
}

func (c *Cell) startDomain(domain string) error {
	for i := range c.cfg.Workers {
		if err := c.startWorker(fmt.Sprintf("%s-w%d", domain, i+1), domain, fmt.Sprintf("%s-r%d", domain, i/8+1)); err != nil {
			return err
		}
	}
	for i := range c.cfg.Minions {
		if err := c.startMinion(fmt.Sprintf("%s-m%d", domain, i+1), domain, float64(i%3+1)); err != nil {
			return err
		}
	}
	for i := range c.cfg.Instances {
		if _, err := c.StartInstance(fmt.Sprintf("%s-e%d", domain, i+1), domain, "127.0.0.1:0"); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cell) startWorker(name, domain, rack string) error {
	c.Oracle.AddWorker(name, c.cfg.Capacity)
	w := worker.New(worker.Config{Name: name, Capacity: c.cfg.Capacity, OnEvent: c.Oracle.RecordTaskEvent})
	c.Workers[name] = w
	addr, err := c.serve(domain, &http.Server{Handler: w.Handler()})
	if err != nil {
		return err
	}
	c.Platform.Put(platf.Instance{Name: name, Kind: "worker", Domain: domain, Rack: rack, Addr: addr, State: "live", Capacity: c.cfg.Capacity})
	return nil
}

func (c *Cell) startMinion(name, domain string, speed float64) error {
	crashed := make(chan struct{}, 1)
	m := minion.New(minion.Config{Name: name, Speed: speed, OnRequest: c.Oracle.RecordRequest, OnCrash: func() {
		select {
		case crashed <- struct{}{}:
		default: // it is down already
		}
	}})
	c.Minions[name] = m
	l, err := c.listen("127.0.0.1:0", domain)
	if err != nil {
		return err
	}
	server := httpd.Serve(l, m.Server())
	c.wg.Go(func() { c.runMinion(m, server, domain, crashed) })
	c.Platform.Put(platf.Instance{Name: name, Kind: "minion", Domain: domain, Addr: server.Addr, State: "live", Slots: 8})
	return nil
}

// runMinion restarts a minion's server at its address after each crash, until
// the cell is closed.
func (c *Cell) runMinion(m *minion.Minion, server *httpd.Server, domain string, crashed <-chan struct{}) {
	defer func() { server.Close() }()
	for {
		select {
		case <-c.stop:
			return
		case <-crashed:
		}
		server.Close()
		select {
		case <-c.stop:
			return
		case <-time.After(minion.Downtime):
		}
		l, err := c.listen(server.Addr, domain)
		if err != nil {
			c.cfg.Logger.Error().Err(err).Str("minion", server.Addr).Msg("cell: minion can't listen again")
			return
		}
		server = httpd.Serve(l, m.Server())
	}
}

// StartInstance starts another entry instance that listens at the given
// address, and adds it to the platform's list. Port 0 selects a free port.
func (c *Cell) StartInstance(name, domain, listen string) (*Instance, error) {
	settings := c.cfg.Settings
	settings.Instance = name
	settings.Domain = domain
	settings.Listen = listen
	settings.Platform = c.platformAddr
	env := server.Env{
		Listen:    func(addr string) (net.Listener, error) { return c.listen(addr, domain, name) },
		OpenStore: platform.StreamLogs, Logger: c.cfg.Logger.With().Str("instance", name).Logger(),
	}
	if c.cfg.Network != nil {
		env.Dial = c.cfg.Network.Dialer(domain, name)
	}
	srv, err := server.NewInstance(settings, env)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	inst := &Instance{Name: name, Domain: domain, Addr: srv.Addr(), server: srv, cancel: cancel}
	c.mu.Lock()
	c.instances[name] = inst
	c.mu.Unlock()
	go func() {
		if err := srv.Run(ctx); err != nil {
			c.cfg.Logger.Warn().Err(err).Str("instance", name).Msg("cell: instance ended with an error")
		}
	}()
	c.Platform.Put(platf.Instance{Name: name, Kind: "entry", Domain: domain, Addr: inst.Addr, State: "live"})
	return inst, nil
}

// Instance returns a running instance, or nil if there is none of that name.
func (c *Cell) Instance(name string) *Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[name]
}

// Instances returns all running instances in no particular order.
func (c *Cell) Instances() []*Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*Instance, 0, len(c.instances))
	for _, inst := range c.instances {
		out = append(out, inst)
	}
	return out
}

// Kill ends an instance without a planned stop and removes it from the
// platform's list, where this shows after the list's delay. Unknown names are
// ignored.
func (c *Cell) Kill(name string) {
	inst := c.remove(name)
	if inst == nil {
		return
	}
	inst.server.Abort()
	<-inst.server.Done()
	inst.cancel()
	c.Platform.Delete(name)
}

// Stop stops an instance as planned, waits until it has ended, and then removes
// it from the platform's list. Unknown names are ignored.
func (c *Cell) Stop(name string) {
	inst := c.remove(name)
	if inst == nil {
		return
	}
	inst.cancel()
	<-inst.server.Done()
	c.Platform.Delete(name)
}

func (c *Cell) remove(name string) *Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	inst := c.instances[name]
	delete(c.instances, name)
	return inst
}

// Close kills all instances and ends the workers and all servers.
func (c *Cell) Close() {
	for _, inst := range c.Instances() {
		c.Kill(inst.Name)
	}
	for _, w := range c.Workers {
		w.Close()
	}
	for _, s := range c.servers {
		s.Close()
	}
	close(c.stop)
	c.wg.Wait()
}
