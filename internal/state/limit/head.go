package limit

import "bytes"

const (
	// FieldBytes is the memory that a decoded field takes beside its text, by the map
	// and the slices that hold it.
	FieldBytes = 256
	// freeHeadLines is the number of lines of a head for which no further memory is
	// charged. Ordinary heads have fewer.
	freeHeadLines = 64
	// readAhead is how many bytes net/http may have read of the heads that follow a
	// request, its buffer.
	readAhead = 4 << 10
)

// Head counts the lines of the heads of a connection's requests while they arrive. It
// knows nothing of bodies: what has been read ahead of the next head counts as a part of
// it, so the number may be too high after a body, but never too low. It is not safe for
// concurrent use.
type Head struct {
	lines   int  // of the current head
	blank   bool // the current line is empty so far; a CR does not count
	began   bool // the first line is not empty
	ended   bool // an empty line has followed
	read    window
	earlier window // the one before read
}

// window is a number of bytes and the lines in them.
type window struct{ bytes, lines int }

// Add counts bytes that have arrived.
func (h *Head) Add(p []byte) {
	lines := bytes.Count(p, []byte("\n"))
	h.read.bytes += len(p)
	h.read.lines += lines
	if h.read.bytes >= readAhead {
		h.earlier, h.read = h.read, window{}
	}
	if h.ended {
		return
	}
	for _, c := range p {
		switch {
		case c == '\r':
		case c != '\n':
			h.began, h.blank = true, false
		case h.blank && h.began:
			h.ended = true
			return
		default:
			h.blank = true
			h.lines++
		}
	}
}

// End records that the head has ended.
func (h *Head) End() { h.ended = true }

// Next records that the next head follows.
func (h *Head) Next() {
	h.lines, h.began, h.blank, h.ended = h.read.lines+h.earlier.lines, false, false, false
}

// Ended reports whether the head has ended.
func (h *Head) Ended() bool { return h.ended }

// Bytes returns the memory that the head's fields take beyond what an ordinary head
// does.
func (h *Head) Bytes() int64 { return int64(max(0, h.lines-freeHeadLines)) * FieldBytes }
