package limit

import "time"

// Limits of every client, whatever the machine.
const (
	// MaxHeadBytes is the largest head of a request. net/http adds 4 KiB of slack.
	MaxHeadBytes = 16 << 10
	// HeadTimeout limits the time from the first byte of a head to its end. Ordinary
	// clients need at most 3 s.
	HeadTimeout = 5 * time.Second
	// BodyTimeout limits the time from the end of a head to the end of the body.
	BodyTimeout = 10 * time.Second
	// IdleTimeout limits the time between two requests of a connection. Ordinary
	// clients close idle connections after 15 s, and balancers after 60 s.
	IdleTimeout = 75 * time.Second
	// WriteTimeout limits each write of an answer, so that a client that reads
	// nothing does not keep its connection.
	WriteTimeout = 30 * time.Second
	// UnreadTimeout is how long a write of an answer may take before the connection may
	// be closed to make room for others. Ordinary answers fit into the buffers.
	UnreadTimeout = time.Second
	// LingerTimeout is how long the rest of a refused body is read and discarded. A
	// connection that is closed while its client sends may lose the answer.
	LingerTimeout = 500 * time.Millisecond
	// RetryAfter is when a client whose body was refused should come back. Bodies
	// that stop short give their bytes back within BodyTimeout, and a second is the
	// shortest time that the header can express.
	RetryAfter = time.Second
	// ReceiveBytes is the size of a connection's receive buffer, which Linux doubles.
	// Bytes that have arrived and were not read count as memory of the process, and by
	// default a connection may hold some megabytes of them.
	ReceiveBytes = 8 << 10
	// PeerReceiveBytes is the same for other instances, which send large bodies to each
	// other and wait for them.
	PeerReceiveBytes = 16 << 10
	// Decoders is the number of bodies that are decoded at a time. Decoding takes
	// several times a body's size.
	Decoders = 2
)

// Shares of a process.
const (
	// ownFDs are the descriptors that the process itself needs: listeners, logs, and
	// connections to the store, the workers and other instances.
	ownFDs = 200
	// connBytes is the memory that a connection may take beside bodies: a head of
	// MaxHeadBytes with its copies, buffers and stacks.
	connBytes = 32 << 10
	// memoryParts is the number of equal parts of the memory, of which the
	// connections and the bodies of a kind of client get one each.
	memoryParts = 8
	// minConns and minBodyBytes are the smallest limits, for settings that would give
	// less. The half of minBodyBytes that is not reserved holds the largest body of
	// any kind, the 2 MiB of a peer.
	minConns     = 16
	minBodyBytes = 8 << 20
	// maxProbes bounds the connections for readiness and metrics, of which a balancer
	// and a scraper keep a few.
	maxProbes = 64
)

// Limits are the limits of a process.
type Limits struct {
	ClientConns int   // connections of callers
	PeerConns   int   // connections of peers and operators
	ProbeConns  int   // connections for readiness and metrics
	BodyBytes   int64 // bytes of all bodies of clients, and again of peers
}

// Derive returns the limits of a process with the given bytes of memory and
// number of descriptors; 0 of either means that it sets no limit.
func Derive(memory, fds int64) Limits {
	const unlimited = 1 << 40
	if memory <= 0 {
		memory = unlimited
	}
	spare := int64(unlimited)
	if fds > 0 {
		spare = max(0, fds-ownFDs)
	}
	byMemory := memory / memoryParts / connBytes
	conns := func(byFDs int64) int { return int(max(minConns, min(byFDs, byMemory))) }
	return Limits{
		ClientConns: conns(spare / 2), PeerConns: conns(spare / 4), ProbeConns: conns(min(spare/8, maxProbes)),
		BodyBytes: max(minBodyBytes, memory/memoryParts),
	}
}
