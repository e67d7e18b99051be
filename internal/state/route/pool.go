package route

import (
	"sort"
	"time"
)

// Parameters of the estimate of service times.
const (
	serviceTimeWeight  = 0.2                   // weight of the newest answer in a minion's moving average
	initialServiceTime = 50 * time.Millisecond // assumed for a class until its first answer
)

// Ways to choose among the minions with a free slot.
const (
	ChooseExpectedFinish   = "expected-finish"   // the least expected service time
	ChooseRoundRobin       = "round-robin"       // each in turn
	ChooseLeastOutstanding = "least-outstanding" // the fewest requests of this instance
	ChoosePowerOfTwo       = "power-of-two"      // the one with fewer requests of two random ones
)

// Minion is a minion that this instance owns. It gets no new requests while its
// orphans are not known, while it is suspected, once it is leaving and once the
// instance's right to dispatch to it has ended. If all minions are suspected, the
// suspicions are ignored.
type Minion struct {
	Name           string
	Addr           string
	Slots          int
	Busy           int       // slots taken by requests of this instance
	Orphans        int       // slots taken by requests that may still run there and whose answers this instance does not await
	LoadUnknown    bool      // its number of orphans is not known yet
	Leaving        bool      // it is stopping
	AfterLoss      int       // requests of this instance on it under which another minion was lost
	SuspectedUntil time.Time // end of its suspicion
	OwnedUntil     time.Time // end of this instance's right to dispatch to it
	NextLoadQuery  time.Time // earliest time of the next query of its running requests

	incompleteAnswers int     // incomplete answers since the last complete one
	serviceFactor     float64 // service time relative to the class's mean
	samples           int     // answers in serviceFactor
}

// Pool holds the minions of one entry instance. It is not safe for concurrent
// use.
type Pool struct {
	selection      string // one of the Choose constants
	minions        []*Minion
	minionsByName  map[string]*Minion
	classMeans     map[string]float64 // mean service time in seconds by class, on a minion of serviceFactor 1
	overallMean    float64            // mean service time in seconds over all classes, on a minion of serviceFactor 1; 0 when unknown
	nextRoundRobin int
	randomState    uint64
}

// NewPool returns an empty pool. selection is one of the Choose constants.
func NewPool(selection string, seed uint64) *Pool {
	return &Pool{selection: selection, minionsByName: map[string]*Minion{}, classMeans: map[string]float64{}, randomState: seed*2 + 1}
}

// Add adds a minion to the pool unless it is there. It sets the minion's address
// and slots and returns it.
func (p *Pool) Add(name, addr string, slots int) *Minion {
	m := p.minionsByName[name]
	if m == nil {
		m = &Minion{Name: name, serviceFactor: 1}
		p.minionsByName[name] = m
		p.minions = append(p.minions, m)
		sort.Slice(p.minions, func(i, j int) bool { return p.minions[i].Name < p.minions[j].Name })
	}
	m.Addr = addr
	m.Slots = slots
	return m
}

// Remove removes a minion from the pool. Its requests in flight go on.
func (p *Pool) Remove(name string) {
	m := p.minionsByName[name]
	if m == nil {
		return
	}
	delete(p.minionsByName, name)
	for i, v := range p.minions {
		if v == m {
			p.minions = append(p.minions[:i], p.minions[i+1:]...)
			return
		}
	}
}

// Get returns the minion of that name, or nil.
func (p *Pool) Get(name string) *Minion { return p.minionsByName[name] }

// Minions returns the minions sorted by name. The caller must not change the
// slice.
func (p *Pool) Minions() []*Minion { return p.minions }

// available reports whether the minion may get a request now. allowSuspected
// ignores its suspicion.
func (m *Minion) available(now time.Time, allowSuspected bool) bool {
	return !m.LoadUnknown && m.Busy+m.Orphans < m.Slots && m.eligible(now, allowSuspected)
}

// eligible reports whether the minion may get requests once it has a free slot
// and its orphans are known. allowSuspected ignores its suspicion.
func (m *Minion) eligible(now time.Time, allowSuspected bool) bool {
	return !m.Leaving && now.Before(m.OwnedUntil) && (allowSuspected || !now.Before(m.SuspectedUntil))
}

// allSuspected reports whether no minion is eligible unless suspicions are
// ignored. Suspected minions are then used, since a poor answer is better than
// none.
func (p *Pool) allSuspected(now time.Time) bool {
	for _, m := range p.minions {
		if m.eligible(now, false) {
			return false
		}
	}
	return true
}

// FreeSlots returns the number of free slots that may be used now.
func (p *Pool) FreeSlots(now time.Time) int {
	n := 0
	allowSuspected := p.allSuspected(now)
	for _, m := range p.minions {
		if m.available(now, allowSuspected) {
			n += m.Slots - m.Busy - m.Orphans
		}
	}
	return n
}

// TotalSlots returns the number of slots, free or taken, of the eligible minions.
func (p *Pool) TotalSlots(now time.Time) int {
	n := 0
	allowSuspected := p.allSuspected(now)
	for _, m := range p.minions {
		if m.eligible(now, allowSuspected) {
			n += m.Slots
		}
	}
	return n
}

// ExpectedServiceTime returns the expected service time of a request of the class
// on the minion.
func (p *Pool) ExpectedServiceTime(m *Minion, class string) time.Duration {
	mean, ok := p.classMeans[class]
	if !ok {
		return time.Duration(m.serviceFactor * float64(initialServiceTime))
	}
	return time.Duration(m.serviceFactor * mean * float64(time.Second))
}

// LeastServiceTime returns the expected service time of a request of the class on
// the fastest minion with a free slot, or 0 if there is none.
func (p *Pool) LeastServiceTime(class string, now time.Time) time.Duration {
	least := time.Duration(0)
	allowSuspected := p.allSuspected(now)
	for _, m := range p.minions {
		if !m.available(now, allowSuspected) {
			continue
		}
		if d := p.ExpectedServiceTime(m, class); least == 0 || d < least {
			least = d
		}
	}
	return least
}

// maxForwardRatio is the fraction of the own expected service time within which a
// peer's answer must be expected for a request to be forwarded although a slot is
// free here.
const maxForwardRatio = 0.6

// WorthForwarding reports whether a request is expected to be answered clearly
// sooner if it is forwarded to a peer than if it takes a free slot here. own and
// peer are the expected service times; hop is the time of a message to the peer,
// one way. A peer of 0 means that the peer has no free slot.
func WorthForwarding(own, peer, hop time.Duration) bool {
	return peer > 0 && 2*hop+peer < time.Duration(maxForwardRatio*float64(own))
}

// AcquireSlot chooses a minion for a request of the class and takes one slot of
// it, which must be freed by ReleaseSlot once the request has ended there. It
// returns nil if no slot may be used now. The minion named avoid, if not "", is
// chosen only if there is no other.
func (p *Pool) AcquireSlot(class, avoid string, now time.Time) *Minion {
	m := p.selectMinion(class, avoid, now)
	if m == nil && avoid != "" {
		m = p.selectMinion(class, "", now)
	}
	if m != nil {
		m.Busy++
	}
	return m
}

// AcquireSlotApart is AcquireSlot, but only chooses minions whose AfterLoss is 0,
// and never the one named avoid.
func (p *Pool) AcquireSlotApart(class, avoid string, now time.Time) *Minion {
	m := p.choose(class, now, func(m *Minion) bool { return m.AfterLoss == 0 && m.Name != avoid })
	if m != nil {
		m.Busy++
	}
	return m
}

// AnyUsable reports whether a minion, other than the one named avoid, may get
// requests once it has a free slot.
func (p *Pool) AnyUsable(avoid string, now time.Time) bool {
	for _, m := range p.minions {
		if !m.LoadUnknown && m.Name != avoid && m.eligible(now, false) {
			return true
		}
	}
	return false
}

func (p *Pool) selectMinion(class, avoid string, now time.Time) *Minion {
	return p.choose(class, now, func(m *Minion) bool { return m.Name != avoid })
}

// choose returns one of the available minions for which accept returns true, or
// nil.
func (p *Pool) choose(class string, now time.Time, accept func(*Minion) bool) *Minion {
	candidates := make([]*Minion, 0, len(p.minions))
	allowSuspected := p.allSuspected(now)
	for _, m := range p.minions {
		if m.available(now, allowSuspected) && accept(m) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	switch p.selection {
	case ChooseRoundRobin:
		p.nextRoundRobin++
		return candidates[p.nextRoundRobin%len(candidates)]
	case ChooseLeastOutstanding:
		return leastBusy(candidates)
	case ChoosePowerOfTwo:
		return leastBusy([]*Minion{candidates[p.randomIndex(len(candidates))], candidates[p.randomIndex(len(candidates))]})
	}
	return p.fastest(candidates, class)
}

func leastBusy(list []*Minion) *Minion {
	best := list[0]
	for _, m := range list[1:] {
		if m.Busy < best.Busy {
			best = m
		}
	}
	return best
}

func (p *Pool) fastest(list []*Minion, class string) *Minion {
	best := list[0]
	for _, m := range list[1:] {
		if p.ExpectedServiceTime(m, class) < p.ExpectedServiceTime(best, class) {
			best = m
		}
	}
	return best
}

func (p *Pool) randomIndex(n int) int {
	p.randomState = p.randomState*6364136223846793005 + 1442695040888963407
	return int(p.randomState>>33) % n
}

// ReleaseSlot frees a slot of the minion and updates the estimates with the
// service time of the answer. A service time of 0 means that no complete answer
// came; it only frees the slot.
func (p *Pool) ReleaseSlot(m *Minion, class string, service time.Duration) {
	m.Busy--
	if service <= 0 {
		return
	}
	m.incompleteAnswers = 0
	seconds := service.Seconds()
	p.updateOverallMean(seconds / max(m.serviceFactor, 1e-9))
	mean, ok := p.classMeans[class]
	if !ok {
		p.classMeans[class] = seconds
		return
	}
	// The first few answers have equal weights.
	weight := max(serviceTimeWeight, 1/float64(m.samples+1))
	m.samples++
	m.serviceFactor += weight * (seconds/max(mean, 1e-9) - m.serviceFactor)
	// The class's mean is that of a minion of serviceFactor 1.
	p.classMeans[class] += serviceTimeWeight / 10 * (seconds/max(m.serviceFactor, 1e-9) - mean)
}

// Suspect excludes the minion from new requests until the given time, unless all
// minions are suspected. An earlier end than the present one is ignored.
func (p *Pool) Suspect(name string, until time.Time) {
	if m := p.minionsByName[name]; m != nil && until.After(m.SuspectedUntil) {
		m.SuspectedUntil = until
	}
}

// overallMeanWeight is the weight of the newest answer in the moving average over
// all classes.
const overallMeanWeight = 0.02

func (p *Pool) updateOverallMean(normalized float64) {
	if p.overallMean == 0 {
		p.overallMean = normalized
	}
	p.overallMean += overallMeanWeight * (normalized - p.overallMean)
}

// Bounds of excluding a minion whose answers are incomplete.
const (
	incompleteAnswerLimit = 3 // incomplete answers in a row before it is excluded
	firstExclusion        = time.Second
	maxExclusion          = 30 * time.Second
)

// RecordIncompleteAnswer records an incomplete answer. From incompleteAnswerLimit
// incomplete answers in a row on, each one excludes the minion for a time that
// doubles up to maxExclusion. A complete answer resets the count.
func (p *Pool) RecordIncompleteAnswer(m *Minion, now time.Time) {
	m.incompleteAnswers++
	if m.incompleteAnswers < incompleteAnswerLimit {
		return
	}
	exclusion := firstExclusion << min(m.incompleteAnswers-incompleteAnswerLimit, 10)
	p.Suspect(m.Name, now.Add(min(exclusion, maxExclusion)))
}

// Rate returns an estimate of the requests that all slots of the eligible minions
// complete per second, given the mix of classes that completed recently. It is 0
// before the first answer.
func (p *Pool) Rate(now time.Time) float64 {
	if p.overallMean == 0 {
		return 0
	}
	rate := 0.0
	allowSuspected := p.allSuspected(now)
	for _, m := range p.minions {
		if !m.eligible(now, allowSuspected) {
			continue
		}
		rate += float64(m.Slots) / max(m.serviceFactor*p.overallMean, 1e-6)
	}
	return rate
}
