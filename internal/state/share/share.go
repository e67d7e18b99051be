package share

import "github.com/tamaracklink/tamaracklink/internal/state/work"

// Dominant returns the largest fraction of any resource of total that used is.
// A resource of which there is none does not count.
func Dominant(used, total work.Size) float64 {
	return max(Fraction(used.CPU, total.CPU), Fraction(used.Memory, total.Memory), Fraction(used.Accelerators, total.Accelerators))
}

// Fraction returns n / total, or 0 if there is no total.
func Fraction(n, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(n) / float64(total)
}

// Weighted returns the dominant share divided by the weight. A weight that is not
// positive counts as 1.
func Weighted(used, total work.Size, weight float64) float64 {
	if weight <= 0 {
		weight = 1
	}
	return Dominant(used, total) / weight
}

// Excess returns by how much the dominant share exceeds the allowance, divided by
// the weight as in Weighted; 0 if it does not.
func Excess(used, total work.Size, allowance, weight float64) float64 {
	if weight <= 0 {
		weight = 1
	}
	return max(0, Dominant(used, total)-allowance) / weight
}

// Fit returns how many of n tasks of a size may start beside used within the
// quota, in which 0 in a resource means no limit. It returns 0 if used exceeds
// the quota in any resource, even one that the tasks don't need.
func Fit(used, size, quota work.Size, n int) int {
	n = fitResource(used.CPU, size.CPU, quota.CPU, n)
	n = fitResource(used.Memory, size.Memory, quota.Memory, n)
	return fitResource(used.Accelerators, size.Accelerators, quota.Accelerators, n)
}

func fitResource(used, size, quota int64, n int) int {
	switch {
	case quota == 0:
		return n
	case used > quota:
		return 0
	case size <= 0:
		return n
	}
	return int(min(int64(n), (quota-used)/size))
}

// Rank is a customer's position among the customers with work.
type Rank struct {
	Share float64 // as returned by Weighted or Excess
	Tie   int     // orders customers with equal shares
}

// Before reports whether the customer of rank r is served before that of other.
func (r Rank) Before(other Rank) bool {
	if r.Share != other.Share {
		return r.Share < other.Share
	}
	return r.Tie < other.Tie
}

// Queue is a heap of customers; it implements heap.Interface. The customer that
// is served next is the first one.
type Queue []Entry

// Entry is a customer in a Queue.
type Entry struct {
	Rank
	Customer int // assigned by the user of the Queue
}

func (q Queue) Len() int           { return len(q) }
func (q Queue) Less(i, k int) bool { return q[i].Before(q[k].Rank) }
func (q Queue) Swap(i, k int)      { q[i], q[k] = q[k], q[i] }

// Push adds an Entry. It is called by package heap.
func (q *Queue) Push(x any) { *q = append(*q, x.(Entry)) }

// Pop removes the last Entry. It is called by package heap.
func (q *Queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}
