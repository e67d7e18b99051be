package addrs

import (
	"net"
	"net/url"
	"strconv"
	"strings"
	"testing"
)

func TestCheckAcceptsOnlyAddressesThatCanBeCalled(t *testing.T) {
	for _, addr := range []string{"10.0.0.1:1", "10.0.0.1:65535", "[fd00::1]:80", "worker-1.rack_3.example:7001", "e0:1"} {
		if err := Check(addr); err != nil {
			t.Errorf("%q: got %v, want no error", addr, err)
		}
	}
	for _, addr := range []string{
		"", ":", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:70000", "10.0.0.1:-1", "10.0.0.1:+1", "10.0.0.1:0x50", "10.0.0.1:http",
		"10.0.0.1:80/path", "10.0.0.1:80?a", "10.0.0.1:80#f", "http://10.0.0.1:80", "user@10.0.0.1:80", "a b:80", "a%41:80", "a/b:80", "fd00::1:80", "[fd00::1]", "[fe80::1%eth0]:80", "fe80::1%eth0:80",
		"a\n:80", "\xff:80", strings.Repeat("a", 254) + ":80", "[a]b:80", "10.0.0.1:99999999999999999999",
	} {
		if Check(addr) == nil {
			t.Errorf("%q: got no error, want one", addr)
		}
	}
}

// FuzzCheckedAddressIsCalledAsWritten guards against an accepted address that
// makes a request go to another host, port or path.
func FuzzCheckedAddressIsCalledAsWritten(f *testing.F) {
	for _, addr := range []string{"10.0.0.1:7001", "[fd00::1]:80", "[fe80::1%25a]:80", "user@h:80", "h:80/x", "h:080", "a%41:80"} {
		f.Add(addr)
	}
	f.Fuzz(func(t *testing.T, addr string) {
		if Check(addr) != nil {
			return
		}
		host, port, err := net.SplitHostPort(addr)
		if n, parseErr := strconv.Atoi(port); err != nil || parseErr != nil || n < 1 || n > 65535 || host == "" {
			t.Fatalf("%q: accepted, but is not HOST:PORT", addr)
		}
		u, err := url.Parse("http://" + addr + "/path")
		if err != nil {
			t.Fatalf("%q: accepted, but no request can be built: %v", addr, err)
		}
		if u.Path != "/path" || u.RawQuery != "" || u.User != nil || u.Port() != port {
			t.Fatalf("%q: accepted, but a request goes to %+v", addr, u)
		}
	})
}
