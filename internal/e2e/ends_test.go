package e2e

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestProcessesGoOn guards against routers and agents that end, or don't start, at what happens to them
// from outside: the reader of their log ends, they are told to reload, their ports are in use for a while.
func TestProcessesGoOn(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.addRouter("r0")
	f.addEngine("engine-0")
	f.configure("r0")
	serves := func() bool { return isCompleteChat(f.chat("r0", 3), 3) }
	f.waitUntil("a chat is served", serves)
	settings := map[string]string{"router": filepath.Join(f.dir, "r0.json"), "agent": filepath.Join(f.dir, "host-of-engine-0.json")}
	for role, old := range map[string]*child{"router": f.routers["r0"], "agent": f.agents["engine-0"]} {
		old.signal(syscall.SIGKILL)
		<-old.done
		release := f.holdPorts(role)
		process := f.startWithoutLogReader(role, settings[role])
		for range 20 {
			process.signal(syscall.SIGHUP)
			time.Sleep(5 * time.Millisecond)
		}
		release()
		f.waitUntil("the "+role+" serves again", serves)
		process.signal(syscall.SIGHUP)
		is.True(serves())
		process.signal(syscall.SIGTERM)
		<-process.done
		is.True(process.cmd.ProcessState.Success()) // a planned stop
		f.start(role, settings[role])
		f.waitUntil("the "+role+" serves again", serves)
	}
}

// holdPorts listens on one of the ports of a role's process until it is released.
func (f *fixture) holdPorts(role string) (release func()) {
	address := f.callers["r0"]
	if role == "agent" {
		address = f.agentLink
	}
	listener, err := net.Listen("tcp", address)
	is.New(f.t).NoErr(err)
	return func() { _ = listener.Close() }
}

// startWithoutLogReader starts a process whose log nobody reads, and waits until it can be told to reload.
func (f *fixture) startWithoutLogReader(args ...string) *child {
	is := is.New(f.t)
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	is.NoErr(reader.Close())
	c := &child{t: f.t, cmd: exec.Command(f.binary, args...), done: make(chan struct{})}
	c.cmd.Stdout, c.cmd.Stderr = writer, writer
	is.NoErr(c.cmd.Start())
	is.NoErr(writer.Close())
	go func() {
		_ = c.cmd.Wait()
		close(c.done)
	}()
	f.t.Cleanup(func() {
		c.signal(syscall.SIGKILL)
		<-c.done
	})
	time.Sleep(5 * time.Millisecond) // nothing keeps a process alive before its code runs
	return c
}
