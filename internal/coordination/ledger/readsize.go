package ledger

import "time"

// Bounds of the size of a read.
const (
	minReadBytes = 64 << 10
	maxReadBytes = 1 << 20
	// readTimeShare is the part of its time-out that a read may take, as a
	// divisor. The rest is for calls that share the link.
	readTimeShare = 4
)

// ReadSize adapts the size of reads to the rate at which they are answered. A
// reader that is behind on a small link would otherwise ask again and again for
// more than the link carries within the time-out. The zero value begins with
// the largest size.
type ReadSize struct {
	bytes int // 0 for maxReadBytes
}

// Bytes returns the size of the next read.
func (s *ReadSize) Bytes() int {
	if s.bytes == 0 {
		return maxReadBytes
	}
	return s.bytes
}

// Update sets the size of the next read from the result of the last one, which
// took the given time of its time-out.
func (s *ReadSize) Update(p Page, err error, took, timeout time.Duration) {
	switch {
	case err != nil && took >= timeout:
		s.set(s.Bytes() / 2)
	case err != nil || p.FirstOffset+int64(len(p.Records)) >= p.LogEnd:
		// Such a read says nothing of the rate.
	case len(p.Records) == 0:
		s.set(maxReadBytes) // the next record alone is larger than the read was
	default:
		n := 0
		for _, r := range p.Records {
			n += len(r.Key) + len(r.Value)
		}
		s.set(int(float64(n) * float64(timeout/readTimeShare) / float64(max(took, time.Millisecond))))
	}
}

func (s *ReadSize) set(bytes int) { s.bytes = min(max(bytes, minReadBytes), maxReadBytes) }
