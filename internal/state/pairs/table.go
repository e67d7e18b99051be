package pairs

import (
	"math"
	"sort"
	"time"
)

const (
	// MaxPairs bounds the pairs of a table. The least recently seen is evicted.
	MaxPairs = 256
	// maxFits bounds the victims whose observations are held. The least recently
	// observed is dropped; its pairs stay.
	maxFits = 64
	// minObservations is the number of observations of a pair before its
	// coefficient is used: a single burst of load must not count.
	minObservations = 8
	// minDeviations is the number of standard deviations by which a coefficient
	// must differ from 0 to be used: with 256 pairs that do not slow each other
	// down, one or two then count as such by chance.
	minDeviations = 2.5
	// systematicVariance is added to the variance of each coefficient: the speed of
	// a worker is known to some 7 % at best, and that error is common to all
	// observations there. Without it, batch tasks that do not slow each other down
	// got coefficients of up to 0.16 in simulations.
	systematicVariance = 0.0064
	// maxCoefficient bounds a coefficient: a neighbour that uses a quarter of a
	// worker's CPU then makes tasks take up to 7 times as long.
	maxCoefficient = 8
	// minCoefficient is the faded coefficient below which a pair is not used.
	minCoefficient = 0.1
	// minShare is the share of a worker's CPU below which a neighbour is not
	// observed.
	minShare = 0.005
	// memoryHalfLife is the half-life of the coefficient of a pair that is not
	// seen on a worker together. It is longer than the half-lives of observations,
	// because tasks that are kept apart are not observed: the pair would
	// otherwise be placed together again each time that it is forgotten.
	memoryHalfLife = 2 * time.Minute
	// maxLogRatio limits the effect of one observation.
	maxLogRatio = 2.5
)

// Victim is an image whose tasks are observed.
type Victim struct {
	Image string
	Batch bool // by run times, not response times
}

// Less reports whether v comes before u in the order of images.
func (v Victim) Less(u Victim) bool {
	if v.Image != u.Image {
		return v.Image < u.Image
	}
	return !v.Batch && u.Batch
}

// Use is the use of a worker's CPU by the tasks of an image.
type Use struct {
	Image string
	Share float64 // of the worker's CPU
}

// Sample is one observation of a task.
type Sample struct {
	Victim   Victim
	LogRatio float64 // of the response time or the run time over what is expected
	// Group names what the observation has in common with others for another
	// reason than the images beside it, and GroupVariance is the variance of that.
	Group         string
	GroupVariance float64
	Noise         float64 // variance of the rest
	Others        []Use   // the other images beside the task; entries of its own image are ignored
}

// Pair is what is known of the effect of one image on another.
type Pair struct {
	Victim      Victim
	Other       string
	Coefficient float64 // of the log ratio per share of a worker's CPU
	Deviation   float64 // standard deviation of Coefficient
	Count       int     // observations
	Seen        time.Time
}

type pairKey struct {
	victim Victim
	other  string
}

// Table holds the known pairs and the observations from which they are
// estimated.
type Table struct {
	pairs map[pairKey]*Pair
	fits  map[Victim]*fit
	used  map[string]int // number of pairs in use by image, in either role
}

// New returns an empty table.
func New() *Table {
	return &Table{pairs: map[pairKey]*Pair{}, fits: map[Victim]*fit{}, used: map[string]int{}}
}

// inUse reports whether enough is known of the pair to use its coefficient.
func (p *Pair) inUse() bool {
	return p.Count >= minObservations && p.Coefficient >= minCoefficient && p.Coefficient > minDeviations*p.Deviation
}

// fading returns the factor by which the coefficient has faded since the pair
// was last seen.
func (p *Pair) fading(now time.Time) float64 {
	return math.Exp2(-float64(max(now.Sub(p.Seen), 0)) / float64(memoryHalfLife))
}

// Observe adds an observation.
func (t *Table) Observe(now time.Time, s Sample) {
	f := t.fits[s.Victim]
	if f == nil {
		t.dropOldestFit()
		f = newFit(now)
		t.fits[s.Victim] = f
	}
	halfLife, maxGap := latencyHalfLife, maxLatencyGap
	if s.Victim.Batch {
		halfLife, maxGap = runTimeHalfLife, maxRunTimeGap
	}
	f.age(now, halfLife, maxGap)
	for _, u := range s.Others {
		if u.Share >= minShare && u.Image != s.Victim.Image {
			t.see(now, f, s.Victim, u.Image)
		}
	}
	x := make([]float64, len(f.ratios))
	x[0] = 1
	for _, u := range s.Others {
		if i := f.element(u.Image); i > 0 && u.Share >= minShare {
			x[i] = u.Share
		}
	}
	s.LogRatio = max(-maxLogRatio, min(maxLogRatio, s.LogRatio))
	f.add(now, &s, x)
	if now.Sub(f.solvedAt) >= solveInterval {
		t.refit(now, f, s.Victim)
	}
}

// see records that the other image runs beside the victim.
func (t *Table) see(now time.Time, f *fit, v Victim, other string) {
	k := pairKey{v, other}
	p := t.pairs[k]
	if p == nil {
		if len(t.pairs) >= MaxPairs {
			t.evict(nil)
		}
		p = &Pair{Victim: v, Other: other, Deviation: math.Sqrt(coefficientVariance), Seen: now}
		t.pairs[k] = p
	}
	if f.element(other) == 0 {
		if len(f.others) >= maxOthers {
			t.evict(&v)
		}
		// What was learned earlier is the prior.
		fading := p.fading(now)
		f.addOther(other, prior{
			mean:     p.Coefficient * fading,
			variance: coefficientVariance + (p.Deviation*p.Deviation-coefficientVariance)*fading,
		})
	}
	t.countUse(p, -1)
	p.Count++
	t.countUse(p, 1)
	p.Seen = now
}

// evict removes the pair that was seen longest ago, of one victim if v is not
// nil.
func (t *Table) evict(v *Victim) {
	var oldest *Pair
	for k, p := range t.pairs {
		if v != nil && (k.victim != *v || t.fits[*v].element(k.other) == 0) {
			continue
		}
		if oldest == nil || p.Seen.Before(oldest.Seen) || (p.Seen.Equal(oldest.Seen) && p.less(oldest)) {
			oldest = p
		}
	}
	t.countUse(oldest, -1)
	delete(t.pairs, pairKey{oldest.Victim, oldest.Other})
	if f := t.fits[oldest.Victim]; f != nil {
		f.removeOther(oldest.Other)
	}
}

func (p *Pair) less(q *Pair) bool {
	if p.Victim != q.Victim {
		return p.Victim.Less(q.Victim)
	}
	return p.Other < q.Other
}

func (t *Table) dropOldestFit() {
	if len(t.fits) < maxFits {
		return
	}
	var oldest Victim
	for v, f := range t.fits {
		if o := t.fits[oldest]; o == nil || f.observedAt.Before(o.observedAt) {
			oldest = v
		}
	}
	delete(t.fits, oldest)
}

// countUse adds n to the numbers of pairs in use of both images if the pair is
// in use.
func (t *Table) countUse(p *Pair, n int) {
	if !p.inUse() {
		return
	}
	for _, image := range []string{p.Victim.Image, p.Other} {
		if t.used[image] += n; t.used[image] == 0 {
			delete(t.used, image)
		}
	}
}

// refit estimates the coefficients of a victim anew. Those of images that were
// not beside it since the last time stay, and fade.
func (t *Table) refit(now time.Time, f *fit, v Victim) {
	since := f.solvedAt
	f.solvedAt = now
	f.prune()
	estimates, variances, ok := f.solve()
	if !ok {
		delete(t.fits, v)
		return
	}
	for i, other := range f.others {
		p := t.pairs[pairKey{v, other}]
		if p.Seen.Before(since) {
			continue
		}
		t.countUse(p, -1)
		p.Coefficient = max(-maxCoefficient, min(maxCoefficient, estimates[i+1]))
		p.Deviation = math.Sqrt(variances[i+1] + systematicVariance)
		t.countUse(p, 1)
	}
}

// Involves reports whether the image is part of a pair in use.
func (t *Table) Involves(image string) bool { return t.used[image] > 0 }

// Coefficient returns the coefficient of the other image's effect on the victim,
// 0 if too little is known of it.
func (t *Table) Coefficient(now time.Time, v Victim, other string) float64 {
	p := t.pairs[pairKey{v, other}]
	if p == nil || !p.inUse() {
		return 0
	}
	if c := p.Coefficient * p.fading(now); c >= minCoefficient {
		return c
	}
	return 0
}

// Len returns the number of known pairs, used or not.
func (t *Table) Len() int { return len(t.pairs) }

// Top returns the n pairs in use with the largest coefficients, faded, the
// largest first.
func (t *Table) Top(now time.Time, n int) []Pair {
	var top []Pair
	for _, p := range t.pairs {
		if c := t.Coefficient(now, p.Victim, p.Other); c > 0 {
			q := *p
			q.Coefficient = c
			top = append(top, q)
		}
	}
	sort.Slice(top, func(i, k int) bool {
		if top[i].Coefficient != top[k].Coefficient {
			return top[i].Coefficient > top[k].Coefficient
		}
		return top[i].less(&top[k])
	})
	return top[:min(n, len(top))]
}

// Observed reports whether the effect of the other image on the victim has been
// observed often enough to be used if there is any.
func (t *Table) Observed(v Victim, other string) bool {
	p := t.pairs[pairKey{v, other}]
	return p != nil && p.Count >= minObservations
}
