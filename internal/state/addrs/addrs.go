// Package addrs checks addresses that other processes have written, before
// anything is sent there.
package addrs

import (
	"net"
	"net/netip"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// maxHostBytes is the limit on the length of a host name, which the DNS sets.
const maxHostBytes = 253

// hostNameBytes are the bytes of which host names consist.
const hostNameBytes = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_"

// Check returns an error unless addr is HOST:PORT, with an IP address (IPv6 in
// brackets) or a name as the host and a port in 1..65535.
func Check(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return errors.New("not HOST:PORT")
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.Errorf("port %q is not in 1..65535", port)
	}
	if ip, err := netip.ParseAddr(host); err == nil && ip.Zone() == "" {
		return nil // a zone would name a network interface of the writer's machine
	}
	if host == "" || len(host) > maxHostBytes || strings.Trim(host, hostNameBytes) != "" {
		return errors.New("the host is neither an IP address nor a host name")
	}
	return nil
}
