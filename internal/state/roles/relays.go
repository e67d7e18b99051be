package roles

import (
	"hash/fnv"
	"math"
	"sort"
	"time"
)

// Limits of the choice of relays.
const (
	// coresPerWorker is the processor time that the calls to one worker take at
	// its relay, as a share of a core: a worker with short tasks gets ten calls a
	// second, of 0.15 ms each.
	coresPerWorker = 0.0015
	// relayShare is the share of its processor that an instance should need as a
	// relay. The rest is for its callers, and for bursts.
	relayShare = 0.2
	// minRelays is the number of relays below which the loss of one would leave
	// too large a part of the workers without orders for a moment.
	minRelays = 6
	// minCores stands for machines whose processor is not known.
	minCores = 0.05
	// ownFaultSilence and maxOwnFault bound the time without an answer of any
	// relay in which the fault is taken for the leader's own. The first is the
	// time-out of a call to a relay.
	ownFaultSilence = 300 * time.Millisecond
	maxOwnFault     = time.Second
)

// Relays returns the instances through which a leader sends the orders to the
// given number of workers: the best-provisioned ones, as few as carry them. Each
// relay costs the leader calls of its own, whose number does not depend on how
// many orders they carry.
func Relays(candidates []Instance, workers int) []Instance {
	list := append([]Instance(nil), candidates...)
	sort.Slice(list, func(i, k int) bool { return list[i].better(&list[k]) })
	need := float64(workers) * coresPerWorker / relayShare
	for n := range list {
		if need <= 0 && n >= minRelays {
			return list[:n]
		}
		need -= max(list[n].Cores, minCores)
	}
	return list
}

// RelayFor returns the name of the relay for a worker, or "" if there is none.
// The share of the workers that a relay gets is that of its processor. A worker
// keeps its relay while that is available; another salt gives it another one.
// The relay called avoid is used only if there is no other.
func RelayFor(worker, salt, avoid string, relays []Instance) string {
	best, bestScore := "", math.Inf(1)
	for i := range relays {
		r := &relays[i]
		if r.Name == avoid && len(relays) > 1 {
			continue
		}
		// Weighted rendezvous hashing: the logarithm of a number spread evenly
		// over 0 to 1, divided by the weight.
		score := -math.Log(unitHash(r.Name, worker, salt)) / max(r.Cores, minCores)
		if score < bestScore {
			best, bestScore = r.Name, score
		}
	}
	return best
}

// unitHash returns a hash of the parts, above 0 and at most 1.
func unitHash(parts ...string) float64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p)) // never fails
		h.Write([]byte{0})
	}
	// The low bits of FNV are mixed best.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return (float64(x>>11) + 1) / (1 << 53)
}

// MayExclude reports whether a relay that does not answer may be excluded, if
// the last answer of any relay was the given time ago. Relays that fail together
// are not excluded at first: the fault is more likely that of the leader, which
// would then send orders to nobody.
func MayExclude(sinceAnswer time.Duration) bool {
	return sinceAnswer < ownFaultSilence || sinceAnswer >= maxOwnFault
}
