package ports

import (
	"fmt"
	"net"
	"testing"
)

// TestPortsAreNotThoseOfOutgoingConnections guards against a program under test
// that can't listen again after a restart, since a connection of another process
// has got its port meanwhile.
func TestPortsAreNotThoseOfOutgoingConnections(t *testing.T) {
	for range 50 {
		if port := Free(t, 3); port < 1024 || port+2 >= limit {
			t.Errorf("got port %d, want three ports from 1024 to %d", port, limit-1)
		}
	}
}

func TestUsedPortIsNotFree(t *testing.T) {
	port := Free(t, 2)
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+1))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if free(port, 2) {
		t.Errorf("ports %d and %d count as free, but the second one is used", port, port+1)
	}
}
