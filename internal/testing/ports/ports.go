package ports

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// Ports are taken from first (inclusive) to limit (exclusive), below the ports
// that the kernel gives to outgoing connections. One of those would be taken
// while a program that listens on it is restarted.
const (
	first = 10240
	limit = 32768
	// blockSize is the distance between the first ports of two processes with
	// consecutive IDs, since the tests of several packages run at the same time.
	blockSize = 128
)

var (
	mu   sync.Mutex
	next = first + os.Getpid()%((limit-first)/blockSize)*blockSize
)

// Free returns the lowest of n adjacent TCP ports on which nothing listened on
// 127.0.0.1 at the time of the call. It returns no port twice until all ports
// have had their turn.
func Free(t testing.TB, n int) int {
	t.Helper()
	mu.Lock()
	defer mu.Unlock()
	for range limit - first {
		if next+n > limit {
			next = first
		}
		port := next
		next += n
		if free(port, n) {
			return port
		}
	}
	t.Fatalf("found no %d adjacent free ports from %d to %d", n, first, limit-1)
	return 0
}

func free(port, n int) bool {
	for i := range n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+i))
		if err != nil {
			return false
		}
		defer l.Close()
	}
	return true
}
