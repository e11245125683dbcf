package loopback_test

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/capersaddle/capersaddle/internal/loopback"
)

func nextAddress(t *testing.T, ports *loopback.Ports) string {
	t.Helper()
	address, err := ports.Address()
	is.New(t).NoErr(err)
	return address
}

// TestAddressesAreUnique checks that two allocators, as in two test binaries, never return the
// same address, although nothing listens on any of them.
func TestAddressesAreUnique(t *testing.T) {
	is := is.New(t)
	allocators := []*loopback.Ports{new(loopback.Ports), new(loopback.Ports)}
	seen := make(map[string]bool)
	const rounds = 120 // more than two blocks hold
	for range rounds {
		for _, allocator := range allocators {
			address := nextAddress(t, allocator)
			is.True(!seen[address])
			seen[address] = true
		}
	}
	for _, allocator := range allocators {
		is.NoErr(allocator.Close())
	}
}

// TestPortsAreBelowEphemeralRange checks that the kernel assigns none of the ports to an
// outgoing connection of any process.
func TestPortsAreBelowEphemeralRange(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("port range is not available:", err)
	}
	ephemeralStart, err := strconv.Atoi(strings.Fields(string(data))[0])
	is.NoErr(err)
	ports := new(loopback.Ports)
	defer func() { is.NoErr(ports.Close()) }()
	_, port, err := net.SplitHostPort(nextAddress(t, ports))
	is.NoErr(err)
	number, err := strconv.Atoi(port)
	is.NoErr(err)
	is.True(number < ephemeralStart)
}

// TestTakenAddressesAreSkipped checks that an address is skipped if another process that
// doesn't know of the blocks listens on it.
func TestTakenAddressesAreSkipped(t *testing.T) {
	for name, network := range map[string]string{"TCP": "tcp", "UDP": "udp"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ports := new(loopback.Ports)
			defer func() { is.NoErr(ports.Close()) }()
			_, port, err := net.SplitHostPort(nextAddress(t, ports))
			is.NoErr(err)
			number, err := strconv.Atoi(port)
			is.NoErr(err)
			next := net.JoinHostPort("127.0.0.1", strconv.Itoa(number+1))
			if network == "tcp" {
				listener, err := net.Listen(network, next)
				is.NoErr(err)
				defer func() { _ = listener.Close() }()
			} else {
				conn, err := net.ListenPacket(network, next)
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
			}
			is.True(nextAddress(t, ports) != next)
		})
	}
}
