package sched

import (
	"slices"
	"sort"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/pairs"
)

// imageUse is the use of a worker by the runs of one image.
type imageUse struct {
	victim  pairs.Victim
	runs    int
	cpu     float64 // in use, in thousandths of a core; the requested amount of runs of which it is not reported
	request float64 // requested, in thousandths of a core
}

// workerImages is what is known of the runs on a worker whose steps have an
// image. It is apart from the worker, which would otherwise be larger: a pass
// visits all workers.
type workerImages struct {
	uses  []imageUse // sorted by victim
	cause string     // image whose filling tasks alone are slowed down, empty for all
}

// victimOf returns the image of a step with the kind of its observations.
func victimOf(st *flow.Step) pairs.Victim {
	return pairs.Victim{Image: st.Image, Batch: !st.LongRunning || st.LatencyTargetMs <= 0}
}

// find returns the entry of a victim, nil if there is none, and its index.
func (wi *workerImages) find(v pairs.Victim) (*imageUse, int) {
	i := sort.Search(len(wi.uses), func(i int) bool { return !wi.uses[i].victim.Less(v) })
	if i < len(wi.uses) && wi.uses[i].victim == v {
		return &wi.uses[i], i
	}
	return nil, i
}

// addImage adds a new run to the use by images.
func (w *worker) addImage(r *run) {
	st := &r.job.Steps[r.id.Step]
	if st.Image == "" {
		return
	}
	if w.images == nil {
		w.images = &workerImages{}
	}
	wi := w.images
	u, i := wi.find(victimOf(st))
	if u == nil {
		wi.uses = slices.Insert(wi.uses, i, imageUse{victim: victimOf(st)})
		u = &wi.uses[i]
	}
	r.cpuInUse = float64(st.Size.CPU)
	u.runs++
	u.cpu += r.cpuInUse
	u.request += float64(st.Size.CPU)
}

// remove removes a run that has ended.
func (wi *workerImages) remove(r *run) {
	st := &r.job.Steps[r.id.Step]
	if st.Image == "" || wi == nil {
		return
	}
	u, i := wi.find(victimOf(st))
	if u == nil {
		return
	}
	u.runs--
	u.cpu -= r.cpuInUse
	u.request -= float64(st.Size.CPU)
	if u.runs == 0 {
		wi.uses = slices.Delete(wi.uses, i, i+1)
	}
}

// setUse sets the CPU that a run uses, in thousandths of a core.
func (wi *workerImages) setUse(r *run, cpu float64) {
	if u, _ := wi.find(victimOf(&r.job.Steps[r.id.Step])); u != nil {
		u.cpu = max(0, u.cpu+cpu-r.cpuInUse)
		r.cpuInUse = cpu
	}
}

// imagesBeside returns the present use of the worker by images other than one.
func (w *worker) imagesBeside(image string) []pairs.Use {
	var uses []pairs.Use
	for _, u := range w.images.uses {
		if u.victim.Image == image {
			continue
		}
		share := u.cpu / float64(w.Capacity.CPU)
		// The entries of an image follow each other.
		if n := len(uses); n > 0 && uses[n-1].Image == u.victim.Image {
			uses[n-1].Share += share
		} else {
			uses = append(uses, pairs.Use{Image: u.victim.Image, Share: share})
		}
	}
	return uses
}
