package work_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// BenchmarkDomainState measures the state of a domain with 1000 to 16000
// running tasks: memory and snapshot bytes per task, and the time to apply a
// batch with one end and one assignment.
func BenchmarkDomainState(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heapBytes()
			s, offset, seq := newFilledState(n)
			memory := heapBytes() - before
			data, err := s.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				ref := work.TaskRef{Job: fmt.Sprint("j", i%n)}
				offset, seq = offset+1, seq+1
				s.Apply(offset, work.Record{Batch: &work.Batch{Term: 1, Seq: seq, Member: "a",
					End: []work.End{{Task: ref, Attempt: 1 + i/n, Outcome: work.OutcomeLost}}, Assign: []work.Assign{{Task: ref, Attempt: 2 + i/n, Worker: "w"}}}})
				s.TakeNewlyPending()
			}
			b.ReportMetric(float64(memory)/float64(n), "B/task")
			b.ReportMetric(float64(len(data))/float64(n), "snapshot-B/task")
		})
	}
}

// heapBytes returns the allocated heap bytes after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// newFilledState returns the state of a domain with n running tasks, the offset of
// its last record and the sequence number of its last batch.
func newFilledState(n int) (*work.State, int64, uint64) {
	s := work.NewState("d")
	s.Apply(0, work.Record{Join: &work.Member{ID: "a", Addr: "1"}})
	s.Apply(1, work.Record{Claim: &work.Claim{Term: 1, Member: "a", LastLeaderOffset: -1}})
	offset, seq := int64(1), uint64(0)
	for i := range n {
		id := fmt.Sprint("j", i)
		s.Apply(offset+1, work.Record{Submit: &work.Submit{Spec: spec(id, work.KindBatch, 1, 0)}})
		offset, seq = offset+2, seq+1
		s.Apply(offset, work.Record{Batch: &work.Batch{Term: 1, Seq: seq, Member: "a",
			Assign: []work.Assign{{Task: work.TaskRef{Job: id}, Attempt: 1, Worker: fmt.Sprint("w", i%470)}}}})
	}
	s.TakeNewlyPending()
	return s, offset, seq
}
