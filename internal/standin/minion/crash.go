package minion

import (
	"net/http"
	"time"
)

// HeaderCrash is the header of requests that crash the minion soon after their
// start.
const HeaderCrash = "Crash"

const (
	crashDelay = 50 * time.Millisecond // from the start of such a request to the crash
	// Downtime is the time from a crash until the minion listens again.
	Downtime = 4 * time.Second
)

// crash ends all requests without an answer. Config.OnCrash closes the listener
// and all connections.
func (m *Minion) crash() {
	m.mu.Lock()
	m.crashes++
	m.running = map[string]int{}
	m.runningCount = 0
	m.mu.Unlock()
	if m.cfg.OnCrash != nil {
		m.cfg.OnCrash()
	}
	panic(http.ErrAbortHandler)
}

// Crashes returns how many times a request has crashed the minion.
func (m *Minion) Crashes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashes
}
