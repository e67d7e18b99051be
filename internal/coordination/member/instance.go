package member

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Kinds of instances in the platform's list.
const (
	KindEntry  = "entry"
	KindMinion = "minion"
	KindWorker = "worker"
)

// States of instances in the platform's list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance is an instance in the platform's list.
type Instance struct {
	Name     string
	Kind     string
	Domain   string
	Rack     string
	Addr     string // IP:port
	State    string
	Slots    int       // of a minion: how many requests it may run at a time
	Capacity work.Size // of a worker: its capacity
}

// Report is the state of an entry instance, as it sends it in heartbeats, in
// the replies to them and with the answers to forwarded requests.
type Report struct {
	Instance         string
	Member           string // unique to this incarnation of the instance
	Domain           string
	Addr             string
	Leaving          bool          // the instance is stopping
	FreeSlots        int           // slots that can take a request now
	TotalSlots       int           // slots of its usable minions
	WaitingRequests  int           // requests waiting for a slot
	Rate             float64       // estimate of the requests that its minions can complete per second
	LeastServiceTime time.Duration // expected service time of a quick request on its fastest minion with a free slot; 0 if no slot is free
	ConfigVersion    uint64        // of the configuration that it has read
	LogReadAge       time.Duration // time since the start of its last read that reached the end of the log
	LogDown          bool          // it regards the log as unreachable
	LeaderInstance   string        // instance that leads its domain, by the sender's view
	Term             uint64        // term of that leader
	AskHold          bool          // the sender leads its domain and asks for a promise not to claim the leadership
	NoClaimFor       time.Duration // in a reply: promise not to claim the leadership for this time, which counts from when the request was sent
	NoReassignFor    time.Duration // in a reply: the leader's promise not to assign the requester's minions to others for this time, which counts likewise
}

// Peer is the last report of another entry instance.
type Peer struct {
	Report
	LastContact time.Time     // when the report was received; zero after a request forwarded to the peer got no answer
	RTT         time.Duration // round-trip time of the heartbeat that the report answered; about 0 if the peer sent it unasked
}
