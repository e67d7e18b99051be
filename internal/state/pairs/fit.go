package pairs

import (
	"math"
	"time"

	"gonum.org/v1/gonum/mat"
)

// Variances of the prior distributions.
const (
	// coefficientVariance is that of a coefficient of which nothing is known. A
	// neighbour that uses an eighth of a worker's CPU then changes the response
	// times by a factor of 1.3 either way.
	coefficientVariance = 4.0
	// baseVariance is that of the base of an image: response times are between a
	// tenth of their target and ten times as long.
	baseVariance = 4.0
)

// Bounds of a fit.
const (
	// maxOthers bounds the images in one fit, and maxGroups its groups: a site
	// has some 350 workers. They bound what a solution costs.
	maxOthers = 32
	maxGroups = 512
	// solveInterval is the least time between two solutions. Workers report about
	// once a second.
	solveInterval = 500 * time.Millisecond
	// minInformation is the share of the prior's precision below which what has
	// been observed of an image or a group no longer counts.
	minInformation = 0.01
	// maxGain is the weight of new observations at which all sums are scaled
	// back, so that none overflows.
	maxGain = 1e6
	// Longer pauses between two observations of a victim count as these bounds,
	// because nothing new is known of it.
	maxLatencyGap = 2 * time.Second
	maxRunTimeGap = 5 * time.Second
)

// Half-lives of observations, in time during which the victim is observed.
const (
	latencyHalfLife = 10 * time.Second
	// runTimeHalfLife is longer than latencyHalfLife because a task yields one run
	// time and not one response time per second: with tasks of 1 s on a few
	// workers, 10 s would hold too few run times beside each other image.
	runTimeHalfLife = 60 * time.Second
)

// fit holds the weighted sums of the observations of one victim. Element 0 of
// each vector is for the base, the others are for the other images.
type fit struct {
	others   []string // names of elements 1 and up
	priors   []prior
	products [][]float64 // sums of x times x
	ratios   []float64   // sums of x times log ratio
	groups   map[string]*group
	// New observations have the weight gain, which doubles in each half-life, so
	// that earlier ones need not be scaled.
	gain       float64
	observedAt time.Time
	solvedAt   time.Time
}

// prior is what is assumed of an element without observations.
type prior struct{ mean, variance float64 }

// group holds the sums of the observations that share a group effect.
type group struct {
	variance float64   // of the group effect
	sums     []float64 // of x; element 0 is the total weight
	ratios   float64   // of the log ratios
	seen     time.Time
}

func newFit(now time.Time) *fit {
	f := &fit{groups: map[string]*group{}, gain: 1, observedAt: now, solvedAt: now}
	f.addElement(prior{variance: baseVariance})
	return f
}

func (f *fit) addElement(p prior) {
	f.priors = append(f.priors, p)
	f.ratios = append(f.ratios, 0)
	for i := range f.products {
		f.products[i] = append(f.products[i], 0)
	}
	f.products = append(f.products, make([]float64, len(f.ratios)))
	for _, g := range f.groups {
		g.sums = append(g.sums, 0)
	}
}

// element returns the element of an image, 0 if the fit does not include it.
func (f *fit) element(other string) int {
	for i, name := range f.others {
		if name == other {
			return i + 1
		}
	}
	return 0
}

func (f *fit) addOther(other string, p prior) {
	f.others = append(f.others, other)
	f.addElement(p)
}

func removeAt(xs []float64, i int) []float64 { return append(xs[:i], xs[i+1:]...) }

func (f *fit) removeOther(other string) {
	i := f.element(other)
	if i == 0 {
		return
	}
	f.others = append(f.others[:i-1], f.others[i:]...)
	f.priors = append(f.priors[:i], f.priors[i+1:]...)
	f.ratios = removeAt(f.ratios, i)
	f.products = append(f.products[:i], f.products[i+1:]...)
	for k := range f.products {
		f.products[k] = removeAt(f.products[k], i)
	}
	for _, g := range f.groups {
		g.sums = removeAt(g.sums, i)
	}
}

// age gives earlier observations less weight, and moves the priors towards that
// of an unknown coefficient by as much.
func (f *fit) age(now time.Time, halfLife, maxGap time.Duration) {
	elapsed := max(0, min(now.Sub(f.observedAt), maxGap))
	f.observedAt = now
	decay := math.Exp2(-float64(elapsed) / float64(halfLife))
	for i := range f.others {
		p := &f.priors[i+1]
		p.mean *= decay
		p.variance = coefficientVariance + (p.variance-coefficientVariance)*decay
	}
	f.gain /= decay
	if f.gain < maxGain {
		return
	}
	scale := func(xs []float64) {
		for i := range xs {
			xs[i] /= f.gain
		}
	}
	scale(f.ratios)
	for _, row := range f.products {
		scale(row)
	}
	for _, g := range f.groups {
		scale(g.sums)
		g.ratios /= f.gain
	}
	f.gain = 1
}

// add adds an observation. x has an element for each image of the fit, and 1 as
// element 0.
func (f *fit) add(now time.Time, s *Sample, x []float64) {
	g := f.groups[s.Group]
	if g == nil {
		if len(f.groups) >= maxGroups {
			f.closeOldestGroup()
		}
		g = &group{sums: make([]float64, len(x))}
		f.groups[s.Group] = g
	}
	g.variance, g.seen = s.GroupVariance, now
	weight := f.gain / s.Noise
	g.ratios += weight * s.LogRatio
	for i := range x {
		g.sums[i] += weight * x[i]
		f.ratios[i] += weight * x[i] * s.LogRatio
		for k := range x {
			f.products[i][k] += weight * x[i] * x[k]
		}
	}
}

// withoutEffect subtracts from the sums what the unknown effect of a group
// explains: the effect is integrated out.
func (f *fit) withoutEffect(g *group, products [][]float64, ratios []float64) {
	factor := g.variance / (f.gain + g.variance*g.sums[0])
	for i := range g.sums {
		ratios[i] -= factor * g.sums[i] * g.ratios
		for k := range g.sums {
			products[i][k] -= factor * g.sums[i] * g.sums[k]
		}
	}
}

// closeOldestGroup integrates out the effect of the group that was observed
// longest ago, for good.
func (f *fit) closeOldestGroup() {
	oldest := ""
	for name, g := range f.groups {
		if o := f.groups[oldest]; o == nil || g.seen.Before(o.seen) || (g.seen.Equal(o.seen) && name < oldest) {
			oldest = name
		}
	}
	f.withoutEffect(f.groups[oldest], f.products, f.ratios)
	delete(f.groups, oldest)
}

// prune removes groups and images of which too little observed weight is left.
func (f *fit) prune() {
	for name, g := range f.groups {
		if g.sums[0]*g.variance < minInformation*f.gain {
			f.withoutEffect(g, f.products, f.ratios)
			delete(f.groups, name)
		}
	}
	for i := len(f.others); i > 0; i-- {
		if f.products[i][i]*coefficientVariance < minInformation*f.gain {
			f.removeOther(f.others[i-1])
		}
	}
}

// solve returns the estimates of all elements and their variances, and false if
// rounding errors made the sums unusable.
func (f *fit) solve() (estimates, variances []float64, ok bool) {
	n := len(f.ratios)
	products, ratios := make([][]float64, n), append([]float64(nil), f.ratios...)
	for i := range products {
		products[i] = append([]float64(nil), f.products[i]...)
	}
	for _, g := range f.groups {
		f.withoutEffect(g, products, ratios)
	}
	precision, target := mat.NewSymDense(n, nil), mat.NewVecDense(n, nil)
	for i := range n {
		for k := i; k < n; k++ {
			precision.SetSym(i, k, products[i][k]/f.gain)
		}
		precision.SetSym(i, i, products[i][i]/f.gain+1/f.priors[i].variance)
		target.SetVec(i, ratios[i]/f.gain+f.priors[i].mean/f.priors[i].variance)
	}
	var cholesky mat.Cholesky
	if !cholesky.Factorize(precision) {
		return nil, nil, false
	}
	var solution mat.VecDense
	var covariance mat.SymDense
	if cholesky.SolveVecTo(&solution, target) != nil || cholesky.InverseTo(&covariance) != nil {
		return nil, nil, false
	}
	variances = make([]float64, n)
	for i := range n {
		variances[i] = covariance.At(i, i)
	}
	return solution.RawVector().Data, variances, true
}
