package oper

import (
	"net/http"
	"strings"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/tamaracklink/tamaracklink/internal/protocol/cell"
	"github.com/tamaracklink/tamaracklink/internal/state/limit"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
	"github.com/tamaracklink/tamaracklink/internal/transport/flows"
	"github.com/tamaracklink/tamaracklink/internal/transport/guard"
)

// siteGuards limit the clients of an instance on the platform. Clients and peers
// have budgets of their own, so that clients can't exhaust the system's own.
type siteGuards struct {
	callers, peers, probes   *guard.Guard
	clientBodies, peerBodies *limit.Budget
	decoders                 guard.Slots
	meter                    *meter.Set
}

// newSiteGuards returns the guards of an instance with the given bytes of memory
// and number of descriptors, as in limit.Derive.
func newSiteGuards(memory, fds int64, m *meter.Set, logger zerolog.Logger) *siteGuards {
	limits := limit.Derive(memory, fds)
	clientBodies, peerBodies := limit.NewBudget(limits.BodyBytes), limit.NewBudget(limits.BodyBytes)
	newGuard := func(name string, conns, receiveBytes int, heads *limit.Budget) *guard.Guard {
		return &guard.Guard{Name: name, Conns: limit.NewConns(conns), Heads: heads, ReceiveBytes: receiveBytes, Meter: m, Logger: logger}
	}
	return &siteGuards{
		callers:      newGuard("callers", limits.ClientConns, limit.ReceiveBytes, clientBodies),
		peers:        newGuard("peers", limits.PeerConns, limit.PeerReceiveBytes, peerBodies),
		probes:       newGuard("probes", limits.ProbeConns, limit.ReceiveBytes, clientBodies),
		clientBodies: clientBodies, peerBodies: peerBodies,
		decoders: make(guard.Slots, limit.Decoders), meter: m,
	}
}

// callerRule returns a rule for callers, whose bodies may have maxBytes().
func (g *siteGuards) callerRule(maxBytes func() int64) func(r *http.Request) guard.Rule {
	return func(*http.Request) guard.Rule {
		return guard.Rule{Budget: g.clientBodies, MaxBytes: maxBytes()}
	}
}

// peerRule is the rule for the port of peers and operators.
func (g *siteGuards) peerRule(r *http.Request) guard.Rule {
	if strings.HasPrefix(r.URL.Path, cell.PathPrefix) {
		return guard.PeerRule(g.peerBodies, r)
	}
	return guard.Rule{Budget: g.clientBodies, MaxBytes: flows.MaxBodyBytes}
}

// noBody is the rule for readiness and metrics.
func noBody(*http.Request) guard.Rule { return guard.Rule{} }

// updateGauges sets the gauges of what clients hold.
func (g *siteGuards) updateGauges() {
	g.meter.Gauge("body_bytes", float64(g.clientBodies.Used()), "clients", "callers")
	g.meter.Gauge("body_bytes", float64(g.peerBodies.Used()), "clients", "peers")
	for _, client := range []*guard.Guard{g.callers, g.peers, g.probes} {
		g.meter.Gauge("open_connections", float64(client.Conns.Open()), "clients", client.Name)
	}
}

// machineMemoryMB returns the machine's memory in MB, 0 if it is not known.
func machineMemoryMB() int64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0 // means no limit
	}
	return int64(uint64(info.Totalram) * uint64(info.Unit) >> 20)
}

// maxDescriptors returns the number of descriptors that the process may open, 0 if
// there is no limit.
func maxDescriptors() int64 {
	var limits unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limits) != nil || limits.Cur > 1<<32 {
		return 0
	}
	return int64(limits.Cur)
}
