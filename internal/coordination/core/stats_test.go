package core

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/sched"
)

func TestReportedQueues(t *testing.T) {
	is := is.New(t)
	waiting := map[string]*sched.QueueWaiting{"a": {Steps: 2}, "b": {Steps: 5}, "c": {Steps: 2}}
	activity := map[string]*sched.QueueActivity{"a": {}, "d": {}}
	before := []string{"b", "e"}
	is.Equal(reportedQueues(waiting, activity, before), []string{"b", "a", "c", "d", "e"})
	is.Equal(reportedQueues(nil, nil, nil), []string{})
}

func TestBusyShare(t *testing.T) {
	tests := []struct {
		name             string
		queries, elapsed time.Duration
		clients          int
		want             float64
	}{
		{"half of one", 500 * time.Millisecond, time.Second, 1, 0.5},
		{"all of four", 8 * time.Second, 2 * time.Second, 4, 1},
		{"no client", time.Second, time.Second, 0, 0},
		{"no time", time.Second, 0, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(busyShare(tt.queries, tt.elapsed, tt.clients), tt.want)
		})
	}
}
