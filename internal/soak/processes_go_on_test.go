package soak

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestProcessesGoOn guards against gateways that end, or don't start, at something that happens to the
// process from outside: the reader of its log ends, a signal comes while it starts, its port is in use.
func TestProcessesGoOn(t *testing.T) {
	binary := buildBinary(t)
	cases := map[string]struct {
		// prepare and started are called before and after each start of a process.
		prepare func(s *soak, g *gateway, cmd *exec.Cmd)
		started func(g *gateway, pid int)
		begin   func(s *soak)
		setUp   func(s *soak)
	}{
		"the reader of the log ends":               {prepare: (*soak).attachLogReader},
		"the disk of the log is full":              {prepare: (*soak).attachFullLog},
		"a signal to reload while it starts":       {started: reloadOften, begin: (*soak).killEach},
		"listeners on its ports":                   {begin: (*soak).startBesideListeners},
		"a listener on the address of its metrics": {setUp: (*soak).holdMetricsAddress},
		"connections from its ports":               {begin: (*soak).startBesideConnections},
		"more callers than descriptors":            {started: limitDescriptors, begin: (*soak).openIdleConnections},
		"its settings are written as it starts":    {begin: (*soak).startBesideChange},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			result := endsRun(t, binary, name, func(s *soak) {
				if test.begin != nil {
					test.begin(s)
				}
			}, func(s *soak) {
				s.prepare, s.started = test.prepare, test.started
				if test.setUp != nil {
					test.setUp(s)
				}
			})
			is.New(t).True(result.served >= minServed)
		})
	}
}

// logReaderLife is how long the reader of a process's log reads.
const logReaderLife = time.Second

// attachLogReader makes a process write its log to a pipe whose reader ends after a while.
func (s *soak) attachLogReader(_ *gateway, cmd *exec.Cmd) {
	reader, writer, err := os.Pipe()
	if err != nil {
		s.t.Error(err)
		return
	}
	cmd.Stdout, cmd.Stderr = writer, writer
	go func() {
		_ = reader.SetReadDeadline(time.Now().Add(logReaderLife))
		_, _ = io.Copy(io.Discard, reader) // ends at the deadline
		_ = reader.Close()
		_ = writer.Close()
	}()
}

// attachFullLog makes all writes of a process's log fail.
func (s *soak) attachFullLog(_ *gateway, cmd *exec.Cmd) {
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	if err != nil {
		s.t.Error(err)
		return
	}
	cmd.Stdout, cmd.Stderr = full, full
}

// reloadOften tells a process to reload its settings again and again while it starts. Before the
// process could have asked for the signal, nothing that it does can keep it from ending.
func reloadOften(_ *gateway, pid int) {
	const times, interval = 40, 2 * time.Millisecond
	for !handlesHangUp(pid) {
		time.Sleep(time.Millisecond / 10)
	}
	for range times {
		_ = syscall.Kill(pid, syscall.SIGHUP)
		time.Sleep(interval)
	}
}

// handlesHangUp reports whether a process ignores or handles SIGHUP, or has ended.
func handlesHangUp(pid int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return true
	}
	for _, name := range []string{"SigIgn:", "SigCgt:"} {
		_, rest, _ := strings.Cut(string(status), name)
		mask, _, _ := strings.Cut(strings.TrimSpace(rest), "\n")
		signals, err := strconv.ParseUint(mask, 16, 64)
		if err != nil || signals&(1<<(syscall.SIGHUP-1)) != 0 {
			return true
		}
	}
	return false
}

// maxDescriptors is the number of file descriptors that a process may have in openIdleConnections.
const maxDescriptors = 256

// limitDescriptors limits the file descriptors of a process.
func limitDescriptors(_ *gateway, pid int) {
	limit := unix.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}
	_ = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil) // the process may have ended
}

// openIdleConnections opens more connections to each gateway than it has descriptors, sends nothing on
// them, and moves the targets of a service while open connections to the store have gone silent.
func (s *soak) openIdleConnections() {
	for _, g := range s.gateways {
		for range 2 * maxDescriptors {
			conn, err := net.DialTimeout("tcp", g.callers, time.Second)
			if err != nil {
				break // its queue of connections is full
			}
			s.t.Cleanup(func() { _ = conn.Close() })
		}
	}
	s.platform.Store.SilenceConnections() // so that it has to be reached anew
	s.moveTargets()
}

// changeTime is how long it takes to write the settings of a gateway.
const changeTime = time.Second

// startBesideChange kills a gateway, which is started again while its settings are being written.
func (s *soak) startBesideChange() {
	is := is.New(s.t)
	g := s.gateways[0]
	whole, err := os.ReadFile(g.settingsFile)
	is.NoErr(err)
	<-g.signal(syscall.SIGKILL)
	is.NoErr(os.WriteFile(g.settingsFile, whole[:len(whole)/2], 0o600))
	time.Sleep(restartDelay + changeTime)
	is.NoErr(os.WriteFile(g.settingsFile, whole, 0o600))
}

// killEach kills the gateways one after the other; the keeper starts them again.
func (s *soak) killEach() {
	for _, g := range s.gateways {
		<-g.signal(syscall.SIGKILL)
		time.Sleep(2 * restartDelay)
	}
}

// heldFor is how long the ports of a gateway stay in use after it was killed.
const heldFor = 2 * time.Second

// startBesideListeners kills a gateway and listens on its ports for a while.
func (s *soak) startBesideListeners() {
	g := s.gateways[0]
	<-g.signal(syscall.SIGKILL)
	for _, address := range []string{g.callers, g.ready, g.peers} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			s.t.Error(err)
			continue
		}
		time.AfterFunc(heldFor, func() { _ = listener.Close() })
	}
}

// holdMetricsAddress makes the gateways serve metrics on an address that is in use throughout.
func (s *soak) holdMetricsAddress() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(s.t).NoErr(err)
	s.t.Cleanup(func() { _ = listener.Close() })
	s.settings["metrics"] = listener.Addr().String()
}

// startBesideConnections kills a gateway and opens connections from its ports, as a process that was
// given such a port for an outgoing connection does.
func (s *soak) startBesideConnections() {
	g := s.gateways[0]
	<-g.signal(syscall.SIGKILL)
	connections := 0
	for _, address := range []string{g.callers, g.ready, g.peers} {
		local, err := net.ResolveTCPAddr("tcp", address)
		if err != nil {
			s.t.Error(err)
			continue
		}
		dialer := net.Dialer{LocalAddr: local}
		conn, err := dialer.Dial("tcp", s.platform.StoreAddress())
		if err != nil {
			continue // connections of callers, which have just been closed, keep the port
		}
		connections++
		time.AfterFunc(heldFor, func() { _ = conn.Close() })
	}
	is.New(s.t).True(connections > 0)
}
