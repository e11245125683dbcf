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

func draw(t *testing.T, ports *loopback.Ports) string {
	t.Helper()
	address, err := ports.Address()
	is.New(t).NoErr(err)
	return address
}

// TestAddressesAreNobodyElses: two drawers, as in two test binaries, never get
// the same address, though nobody listens at any of them.
func TestAddressesAreNobodyElses(t *testing.T) {
	is := is.New(t)
	drawers := []*loopback.Ports{new(loopback.Ports), new(loopback.Ports)}
	seen := make(map[string]bool)
	const more = 120 // than two blocks hold
	for range more {
		for _, drawer := range drawers {
			address := draw(t, drawer)
			is.True(!seen[address])
			seen[address] = true
		}
	}
	for _, drawer := range drawers {
		is.NoErr(drawer.Close())
	}
}

// TestAddressesAreNoSourcePorts: the kernel gives none of them to an outgoing
// connection of any process.
func TestAddressesAreNoSourcePorts(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("not told here:", err)
	}
	first, err := strconv.Atoi(strings.Fields(string(data))[0])
	is.NoErr(err)
	ports := new(loopback.Ports)
	defer func() { is.NoErr(ports.Close()) }()
	_, port, err := net.SplitHostPort(draw(t, ports))
	is.NoErr(err)
	number, err := strconv.Atoi(port)
	is.NoErr(err)
	is.True(number < first)
}

// TestTakenAddressesArePassedOver: somebody who knows nothing of the blocks
// listens at an address that would be next.
func TestTakenAddressesArePassedOver(t *testing.T) {
	for name, network := range map[string]string{"TCP": "tcp", "UDP": "udp"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ports := new(loopback.Ports)
			defer func() { is.NoErr(ports.Close()) }()
			_, port, err := net.SplitHostPort(draw(t, ports))
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
			is.True(draw(t, ports) != next)
		})
	}
}
