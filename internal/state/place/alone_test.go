package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/place"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// TestTaskToStartAloneStartsOnFullWorkers guards against starvation of tasks
// that are to start alone while other tasks take every core as soon as it is
// free.
func TestTaskToStartAloneStartsOnFullWorkers(t *testing.T) {
	is := is.NewRelaxed(t)
	e := newEngine(4)
	var items []place.Item
	for n := range 3 {
		it := newItem(fmt.Sprintf("alone%d", n), work.ClassNormal, 1, 1000, 2*time.Second)
		it.Alone = true
		items = append(items, it)
	}
	is.Equal(len(runChurn(e, work.ClassNormal, items, 2*time.Minute)), 3)
}

// TestNoTaskStartsBesideOneThatStartsAlone guards against a crash that can't be
// attributed to one task, because another one started on the worker at about
// the same time.
func TestNoTaskStartsBesideOneThatStartsAlone(t *testing.T) {
	is := is.NewRelaxed(t)
	e := newEngine(2)
	type start struct {
		at     time.Duration
		worker string
		alone  bool
	}
	var starts []start
	n := 0
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		n++
		it := newItem(fmt.Sprintf("t%d", n), work.ClassNormal, 1, 10, now)
		it.Size.Memory = 10
		it.Alone = n%150 == 20
		e.Enqueue(it)
		for _, p := range e.Place(epoch.Add(now), 100) {
			starts = append(starts, start{now, p.Workers[0], p.Item.Alone})
		}
	}
	alone := 0
	for _, a := range starts {
		if !a.alone {
			continue
		}
		alone++
		for _, b := range starts {
			gap := (a.at - b.at).Abs()
			is.True(a == b || a.worker != b.worker || gap >= aloneFor) // a start beside it
		}
	}
	is.Equal(alone, 4)
}
