package route

import (
	"sort"
	"time"
)

// Bounds for learning a minion's speed.
const (
	speedGain    = 0.2 // weight of the newest answer
	firstService = 50 * time.Millisecond
)

// Ways to choose a minion.
const (
	ChooseFinish = "expected-finish"
	ChooseRound  = "round-robin"
	ChooseLeast  = "least-outstanding"
	ChooseTwo    = "power-of-two"
)

// Minion is a back end that this instance owns.
type Minion struct {
	Name    string
	Addr    string
	Slots   int
	Busy    int       // requests of this instance
	Orphans int       // requests that may still run there and that nobody here waits for
	Unasked bool      // its orphans are not known yet; gets nothing new
	Leaving bool      // gets nothing new
	Until   time.Time // suspected until then; gets nothing new
	Owned   time.Time // the right to dispatch ends then
	AskAt   time.Time // it is asked what it runs no sooner

	broken  int     // answers in a row that were not whole
	factor  float64 // service time relative to the class's mean
	samples int
}

// Pool is the minions of one entry instance. It is not safe for concurrent use.
type Pool struct {
	choose  string
	minions []*Minion
	byName  map[string]*Minion
	classes map[string]float64 // mean service time in seconds on a minion of factor 1
	mix     float64            // mean service time over all classes, likewise
	turn    int
	random  uint64
}

// NewPool gives an empty pool that chooses in the given way.
func NewPool(choose string, seed uint64) *Pool {
	return &Pool{choose: choose, byName: map[string]*Minion{}, classes: map[string]float64{}, random: seed*2 + 1}
}

// Add puts a minion into the pool, or gives the one that is there.
func (p *Pool) Add(name, addr string, slots int) *Minion {
	m := p.byName[name]
	if m == nil {
		m = &Minion{Name: name, factor: 1}
		p.byName[name] = m
		p.minions = append(p.minions, m)
		sort.Slice(p.minions, func(i, j int) bool { return p.minions[i].Name < p.minions[j].Name })
	}
	m.Addr = addr
	m.Slots = slots
	return m
}

// Remove takes a minion out. Requests in flight on it go on.
func (p *Pool) Remove(name string) {
	m := p.byName[name]
	if m == nil {
		return
	}
	delete(p.byName, name)
	for i, v := range p.minions {
		if v == m {
			p.minions = append(p.minions[:i], p.minions[i+1:]...)
			return
		}
	}
}

// Get gives the minion of the name, or nil.
func (p *Pool) Get(name string) *Minion { return p.byName[name] }

// Minions gives the minions by name.
func (p *Pool) Minions() []*Minion { return p.minions }

// usable reports whether the minion may be given a request now. With desperate
// a suspicion does not count.
func (m *Minion) usable(now time.Time, desperate bool) bool {
	return !m.Unasked && m.Busy+m.Orphans < m.Slots && m.serves(now, desperate)
}

// serves reports whether the minion may be given requests once it has a slot.
func (m *Minion) serves(now time.Time, desperate bool) bool {
	return !m.Leaving && now.Before(m.Owned) && (desperate || !now.Before(m.Until))
}

// desperate reports whether no minion is above suspicion; then the suspected
// ones are used all the same, since a poor answer beats none.
func (p *Pool) desperate(now time.Time) bool {
	for _, m := range p.minions {
		if m.serves(now, false) {
			return false
		}
	}
	return true
}

// Free counts the slots that may be used now.
func (p *Pool) Free(now time.Time) int {
	n := 0
	desperate := p.desperate(now)
	for _, m := range p.minions {
		if m.usable(now, desperate) {
			n += m.Slots - m.Busy - m.Orphans
		}
	}
	return n
}

// Slots counts the slots of minions that may be used once they are free.
func (p *Pool) Slots(now time.Time) int {
	n := 0
	desperate := p.desperate(now)
	for _, m := range p.minions {
		if m.serves(now, desperate) {
			n += m.Slots
		}
	}
	return n
}

// Expected is how long the minion is expected to take for a request of the class.
func (p *Pool) Expected(m *Minion, class string) time.Duration {
	mean, ok := p.classes[class]
	if !ok {
		return time.Duration(m.factor * float64(firstService))
	}
	return time.Duration(m.factor * mean * float64(time.Second))
}

// Pace gives how long the fastest minion with a free slot is expected to take
// for a request of the class; 0 where none has one.
func (p *Pool) Pace(class string, now time.Time) time.Duration {
	best := time.Duration(0)
	desperate := p.desperate(now)
	for _, m := range p.minions {
		if !m.usable(now, desperate) {
			continue
		}
		if d := p.Expected(m, class); best == 0 || d < best {
			best = d
		}
	}
	return best
}

// betterBy is by how much a peer's pace must be better than the own one before
// a request is handed over although a slot is free here.
const betterBy = 0.6

// Better reports whether a peer of the pace, a hop away, would end a request
// clearly sooner than a minion here of the own pace.
func Better(own, peer, hop time.Duration) bool {
	return peer > 0 && 2*hop+peer < time.Duration(betterBy*float64(own))
}

// Take chooses a minion for a request of the class and takes one slot of it.
// It gives nil when none may be used now.
func (p *Pool) Take(class, avoid string, now time.Time) *Minion {
	m := p.pick(class, avoid, now)
	if m == nil && avoid != "" {
		m = p.pick(class, "", now)
	}
	if m != nil {
		m.Busy++
	}
	return m
}

func (p *Pool) pick(class, avoid string, now time.Time) *Minion {
	usable := make([]*Minion, 0, len(p.minions))
	desperate := p.desperate(now)
	for _, m := range p.minions {
		if m.usable(now, desperate) && m.Name != avoid {
			usable = append(usable, m)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	switch p.choose {
	case ChooseRound:
		p.turn++
		return usable[p.turn%len(usable)]
	case ChooseLeast:
		return leastBusy(usable)
	case ChooseTwo:
		return leastBusy([]*Minion{usable[p.rand(len(usable))], usable[p.rand(len(usable))]})
	}
	return p.fastest(usable, class)
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
		if p.Expected(m, class) < p.Expected(best, class) {
			best = m
		}
	}
	return best
}

func (p *Pool) rand(n int) int {
	p.random = p.random*6364136223846793005 + 1442695040888963407
	return int(p.random>>33) % n
}

// Done frees the slot and learns from an answer's service time; a time of 0
// teaches nothing.
func (p *Pool) Done(m *Minion, class string, service time.Duration) {
	m.Busy--
	if service <= 0 {
		return
	}
	m.broken = 0
	s := service.Seconds()
	p.learnMix(s / max(m.factor, 1e-9))
	mean, ok := p.classes[class]
	if !ok {
		p.classes[class] = s
		return
	}
	gain := max(speedGain, 1/float64(m.samples+1))
	m.samples++
	m.factor += gain * (s/max(mean, 1e-9) - m.factor)
	// The class's mean follows answers as a minion of factor 1 would give them.
	p.classes[class] += speedGain / 10 * (s/max(m.factor, 1e-9) - mean)
}

// Suspect keeps new requests from the minion until the time.
func (p *Pool) Suspect(name string, until time.Time) {
	if m := p.byName[name]; m != nil && until.After(m.Until) {
		m.Until = until
	}
}

// mixGain is the weight of the newest answer in the mean over all classes.
const mixGain = 0.02

func (p *Pool) learnMix(s float64) {
	if p.mix == 0 {
		p.mix = s
	}
	p.mix += mixGain * (s - p.mix)
}

// Bounds of setting aside a minion whose answers are not whole.
const (
	brokenLimit = 3
	brokenPause = time.Second
	brokenMost  = 30 * time.Second
)

// Broke notes an answer that was not whole. A minion that gives none in a row
// is set aside for a while that doubles until one is whole again.
func (p *Pool) Broke(m *Minion, now time.Time) {
	m.broken++
	if m.broken < brokenLimit {
		return
	}
	pause := brokenPause << min(m.broken-brokenLimit, 10)
	p.Suspect(m.Name, now.Add(min(pause, brokenMost)))
}

// Rate estimates how many requests all usable slots end per second, with the
// mix of classes that ended lately; 0 before any has ended.
func (p *Pool) Rate(now time.Time) float64 {
	if p.mix == 0 {
		return 0
	}
	rate := 0.0
	desperate := p.desperate(now)
	for _, m := range p.minions {
		if !m.serves(now, desperate) {
			continue
		}
		rate += float64(m.Slots) / max(m.factor*p.mix, 1e-6)
	}
	return rate
}
