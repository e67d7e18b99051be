// Package parts runs the goroutines that a component can't do without. When one
// of them panics, the component ends with that panic instead of going on
// without a part.
package parts

import (
	"sync"

	"github.com/sourcegraph/conc/panics"
)

// Group is a group of goroutines, the parts of a component. It is safe for
// concurrent use.
type Group struct {
	running  sync.WaitGroup
	once     sync.Once         // guards the first panic
	first    *panics.Recovered // set before panicked is closed
	panicked chan struct{}
}

// New returns a Group without parts.
func New() *Group { return &Group{panicked: make(chan struct{})} }

// Go runs f as a part.
func (g *Group) Go(f func()) {
	g.running.Go(func() {
		if r := panics.Try(f); r != nil {
			g.once.Do(func() {
				g.first = r
				close(g.panicked)
			})
		}
	})
}

// Panicked returns a channel that is closed when a part has panicked.
func (g *Group) Panicked() <-chan struct{} { return g.panicked }

// Wait waits until all parts have ended. As soon as one panics, Wait panics too,
// with the value and trace of the first panic. It doesn't wait for the other
// parts then, since they may wait for a lock that the panic has left locked. The
// caller should end their context by a deferred call.
func (g *Group) Wait() {
	ended := make(chan struct{})
	go func() {
		g.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-g.panicked:
	}
	select {
	case <-g.panicked:
		panic(g.first)
	default:
	}
}
