package guard

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/state/limit"
)

// blockBytes is the size of the blocks in which bodies are held and charged.
const blockBytes = 4 << 10

// blocks are unused blocks, so that a flood of bodies leaves no garbage.
var blocks = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// Rule is the limit of a request's body.
type Rule struct {
	Budget   *limit.Budget
	MaxBytes int64
	// Check returns the bytes that decoding a whole body takes beside it, which are
	// charged too, or an error for a body that is not served. It may be nil.
	Check func(body io.Reader) (int64, error)
}

// errBudget means that the budget has no room for more of a body.
var errBudget = errors.New("too many bytes of requests at the moment")

// Handler returns a handler that calls h once the whole body of a request has
// arrived. rule returns the rule for a request; a nil Budget means that no body is
// expected. If the budget has no room for the body, the request is answered 503.
// A body beyond MaxBytes, and one that ends early, reaches h up to there and then
// fails with an error; h must answer that itself. In each of these cases the
// connection is closed after the answer and serves no further request.
func (g *Guard) Handler(h http.Handler, rule func(r *http.Request) Rule) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		if !c.endHead() {
			g.report("refused_bodies", "fields")
			refuse(w, c)
			return
		}
		b := &body{}
		defer b.release()
		if r.ContentLength != 0 {
			var refused bool
			if r, refused = g.readBody(w, r, c, b, rule(r)); refused {
				return
			}
		}
		if !g.Conns.Execute(c.entry) {
			panic(http.ErrAbortHandler) // the connection has been closed
		}
		if g.Conns.Crowded() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// readBody reads the body of r into b and returns r with b as its body, unless it
// has refused the request.
func (g *Guard) readBody(w http.ResponseWriter, r *http.Request, c *conn, b *body, rule Rule) (*http.Request, bool) {
	if rule.Budget == nil {
		closeAfterAnswer(w, c)
		return r, false
	}
	b.budget = rule.Budget
	// An error means that the connection is closed, which the read then returns.
	_ = c.SetReadDeadline(time.Now().Add(limit.BodyTimeout))
	b.err = b.readFrom(r.Body, rule.MaxBytes)
	if b.err == nil && rule.Check != nil {
		decoded, err := rule.Check(b.view())
		if err != nil {
			g.report("refused_bodies", "content")
			http.Error(w, err.Error(), http.StatusBadRequest)
			return nil, true
		}
		b.err = b.charge(decoded)
	}
	switch {
	case b.err == nil:
		// Otherwise the deadline would cancel the request while it is executed.
		_ = c.SetReadDeadline(time.Time{})
	case errors.Is(b.err, errBudget):
		g.report("refused_bodies", "budget")
		refuse(w, c)
		return nil, true
	default:
		reason := "incomplete"
		if errors.Is(b.err, errTooLarge) {
			reason = "too large"
		}
		g.report("refused_bodies", reason)
		// net/http closes the connection by itself unless the client already has.
		linger(c)
	}
	// A copy, since net/http looks at the body of its own request afterwards.
	withBody := *r
	withBody.Body = b
	return &withBody, false
}

// refuse answers that the budget has no room for the request, which has not been
// executed.
func refuse(w http.ResponseWriter, c *conn) {
	closeAfterAnswer(w, c)
	w.Header().Set("Retry-After", strconv.Itoa(int(limit.RetryAfter.Seconds())))
	http.Error(w, errBudget.Error(), http.StatusServiceUnavailable)
}

// closeAfterAnswer makes the server close the connection after the answer, and
// read and discard the body only for a short time before.
func closeAfterAnswer(w http.ResponseWriter, c *conn) {
	w.Header().Set("Connection", "close")
	linger(c)
}

// linger limits the time for which the server reads and discards the rest of a
// body.
func linger(c *conn) {
	_ = c.SetReadDeadline(time.Now().Add(limit.LingerTimeout)) // it fails only on a closed connection
}

// errTooLarge means that a body has more than Rule.MaxBytes.
var errTooLarge = errors.New("the body is too large")

// body is a request body that has been read. Reading gives its blocks back.
type body struct {
	budget  *limit.Budget
	charged int64
	blocks  []*[blockBytes]byte
	size    int   // bytes in blocks
	offset  int   // bytes that have been read
	err     error // instead of io.EOF at the end, if not nil
}

// readFrom reads r to its end, which must come after at most maxBytes. With
// errTooLarge, one byte beyond maxBytes has been read.
func (b *body) readFrom(r io.Reader, maxBytes int64) error {
	for {
		if b.size == len(b.blocks)*blockBytes {
			if err := b.charge(blockBytes); err != nil {
				return err
			}
			b.blocks = append(b.blocks, blocks.Get().(*[blockBytes]byte))
		}
		start := b.size % blockBytes
		end := min(blockBytes, int64(start)+maxBytes+1-int64(b.size))
		n, err := r.Read(b.blocks[len(b.blocks)-1][start:end])
		b.size += n
		if int64(b.size) > maxBytes {
			return errTooLarge
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// charge charges n further bytes.
func (b *body) charge(n int64) error {
	if !b.budget.Take(b.charged, n) {
		return errBudget
	}
	b.charged += n
	return nil
}

// view returns a reader of the whole body that leaves it as it is.
func (b *body) view() io.Reader {
	readers := make([]io.Reader, 0, len(b.blocks))
	for i, block := range b.blocks {
		readers = append(readers, bytes.NewReader(block[:min(blockBytes, b.size-i*blockBytes)]))
	}
	return io.MultiReader(readers...)
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.offset == b.size {
		if b.err != nil {
			return 0, b.err
		}
		return 0, io.EOF
	}
	i, start := b.offset/blockBytes, b.offset%blockBytes
	n := copy(p, b.blocks[i][start:min(blockBytes, b.size-i*blockBytes)])
	b.offset += n
	if b.offset == (i+1)*blockBytes {
		blocks.Put(b.blocks[i])
		b.blocks[i] = nil
	}
	return n, nil
}

// Close implements io.Closer. The blocks are given back when the request ends.
func (b *body) Close() error { return nil }

// release gives back what reading has not.
func (b *body) release() {
	for _, block := range b.blocks {
		if block != nil {
			blocks.Put(block)
		}
	}
	b.blocks, b.size, b.offset = nil, 0, 0
	if b.budget != nil {
		b.budget.Release(b.charged)
	}
}
