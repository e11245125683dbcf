package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An agent that is killed in the middle of a stream: the caller gets all of
// the answer from another engine.
func TestKillAnAgentInTheMiddleOfAStream(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.addRouter("router-0")
	f.addEngine("engine-0")
	f.addEngine("engine-1")
	f.configure("router-0")
	served := make(map[string]bool)
	f.until("both engines serve chats", func() bool {
		question := `{"model":"m","messages":[{"role":"user","content":"question ` + strconv.Itoa(len(served)) + newKey() + `"}]}`
		served[f.send("router-0", "/v1/chat/completions", nil, question).header.Get("Capersaddle-Placement")] = true
		return served["engine-0"] && served["engine-1"]
	})
	var got reply
	var wait sync.WaitGroup
	wait.Go(func() { got = f.chat("router-0", 400) })
	busy := ""
	f.until("the stream runs", func() bool {
		for id := range f.engines {
			if body := f.get(f.urls[id] + "/load"); strings.Contains(body, `"running":1`) {
				busy = id
			}
		}
		return busy != ""
	})
	f.agents[busy].signal(syscall.SIGKILL)
	wait.Wait()
	is.NoErr(got.err)
	is.True(whole(got, 400))
	is.Equal(strings.Count(got.body, `"content":`), 401) // 400 pieces once each, and the closing chunk
}

// An owner of slots that is frozen, loses them and wakes: its keys ran once.
func TestFreezeAnOwner(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.addRouter("router-0")
	for _, id := range []string{"topup-0", "topup-1", "topup-2"} {
		f.addService(id)
	}
	f.configure("router-0")
	f.until("top-ups to all slots are served", func() bool { return f.servesTopUps() })
	// An owner that has claimed slots before it knew another host has no
	// witness yet: nobody may take its slots over (docs/design/once.md).
	f.until("every slot has a witness", func() bool { return f.slotsWithWitness("router-0") == slots })
	first := newKey()
	ran := f.topUp("router-0", first)
	if ran.status != http.StatusOK {
		t.Fatalf("the first top-up: %d %s", ran.status, ran.body) // known to have failed once; its reason was not kept
	}
	owner := ran.body[strings.Index(ran.body, "topup-") : strings.Index(ran.body, "topup-")+7]
	f.agents[owner].signal(syscall.SIGSTOP)
	f.until("the slots of the frozen owner are served by others", func() bool { return f.servesTopUps() })
	doubt := f.topUp("router-0", first)
	is.Equal(doubt.status, http.StatusConflict) // in doubt, not run again
	f.agents[owner].signal(syscall.SIGCONT)
	f.until("the woken owner serves or passes on", func() bool { return f.topUp("router-0", newKey()).status == http.StatusOK })
	again := f.topUp("router-0", first)
	is.True(again.status == http.StatusConflict || again.body == ran.body)
}

// A planned stop of an agent (SIGTERM) ends after the stream, which is whole.
func TestStopAnAgentInTheMiddleOfAStream(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.addRouter("router-0")
	f.addEngine("engine-0")
	f.configure("router-0")
	f.until("a chat is served", func() bool { return whole(f.chat("router-0", 3), 3) })
	var got reply
	var wait sync.WaitGroup
	wait.Go(func() { got = f.chat("router-0", 500) })
	f.until("the stream runs", func() bool { return strings.Contains(f.get(f.urls["engine-0"]+"/load"), `"running":1`) })
	f.agents["engine-0"].signal(syscall.SIGTERM)
	f.until("the target takes nothing new", func() bool { return f.chat("router-0", 1).status == http.StatusServiceUnavailable })
	wait.Wait()
	is.True(whole(got, 500))
	<-f.agents["engine-0"].done
	is.Equal(f.agents["engine-0"].cmd.ProcessState.ExitCode(), 0)
}

// The same for a router: it goes unready, ends the stream whole, then exits.
func TestStopARouterInTheMiddleOfAStream(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.addRouter("router-0")
	f.addEngine("engine-0")
	f.configure("router-0")
	f.until("a chat is served", func() bool { return whole(f.chat("router-0", 3), 3) })
	var got reply
	var wait sync.WaitGroup
	wait.Go(func() { got = f.chat("router-0", 500) })
	f.until("the stream runs", func() bool { return strings.Contains(f.get(f.urls["engine-0"]+"/load"), `"running":1`) })
	f.router["router-0"].signal(syscall.SIGTERM)
	f.until("the router is not ready", func() bool {
		response, err := http.Get("http://" + f.address["router-0"] + "/readyz")
		if err != nil {
			return true
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode == http.StatusServiceUnavailable
	})
	wait.Wait()
	is.True(whole(got, 500))
	<-f.router["router-0"].done
	is.Equal(f.router["router-0"].cmd.ProcessState.ExitCode(), 0)
}

// The store is cut off: chats and top-ups go on, changes are refused, and a
// router that starts meanwhile becomes ready from its peers.
func TestCutTheStore(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.addRouter("router-0")
	f.addEngine("engine-0")
	f.addService("topup-0")
	f.addService("topup-1")
	f.configure("router-0")
	f.until("all is served", func() bool {
		return whole(f.chat("router-0", 3), 3) && f.known("router-0") == 3 && f.servesTopUps()
	})
	response, err := http.Post("http://"+f.store+"/fault", "application/json", strings.NewReader(`{"away":true}`))
	is.NoErr(err)
	_ = response.Body.Close()
	f.addRouter("router-1")
	f.until("the new router serves without the store", func() bool { return whole(f.chat("router-1", 3), 3) })
	is.Equal(f.topUp("router-0", newKey()).status, http.StatusOK)
	refused, err := http.Post("http://"+f.operators["router-0"]+"/operator/v1/command", "application/json",
		strings.NewReader(`{"id":"x","changes":[{"name":"workspace/none"}]}`))
	is.NoErr(err)
	_ = refused.Body.Close()
	is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
}

// known counts the targets that a router has heard of.
func (f *fixture) known(id string) int {
	return len(f.query(id, "targets"))
}

// slots is how many a service has unless its configuration says otherwise.
const slots = 64

// slotsWithWitness counts the slots whose owner has a witness.
func (f *fixture) slotsWithWitness(id string) int {
	const witnessColumn = 3
	count := 0
	for _, row := range f.query(id, "slots") {
		if row[witnessColumn] != "" {
			count++
		}
	}
	return count
}

// query asks a router; it returns no rows if the router can't be asked.
func (f *fixture) query(id, text string) [][]string {
	response, err := http.Post("http://"+f.operators[id]+"/operator/v1/query", "application/json", strings.NewReader(`{"text":"`+text+`"}`))
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var table struct{ Rows [][]string }
	_ = json.NewDecoder(response.Body).Decode(&table)
	return table.Rows
}

// servesTopUps tries so many keys that every slot's owner has had one.
func (f *fixture) servesTopUps() bool {
	for range 20 {
		if f.topUp("router-0", newKey()).status != http.StatusOK {
			return false
		}
	}
	return true
}

func (f *fixture) get(url string) string {
	response, err := http.Get(url)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	buffer := make([]byte, 4096)
	n, _ := response.Body.Read(buffer)
	return string(buffer[:n])
}

// cpuOf is the processor time that a process has used.
func cpuOf(t testing.TB, pid int) time.Duration {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	is.New(t).NoErr(err)
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+2:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	const ticksPerSecond = 100
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// BenchmarkProcesses streams through a router and agents that are processes of
// their own, and reports the processor time of each. With few streams the
// processes sleep and wake for each piece; with many they show their limit.
func BenchmarkProcesses(b *testing.B) {
	for _, streams := range []int{20, 100, 400} {
		b.Run(fmt.Sprintf("streams-%d", streams), func(b *testing.B) { measureProcesses(b, streams) })
	}
}

func measureProcesses(b *testing.B, streams int) {
	f := newFixture(b)
	f.admission["floor"] = 256
	f.addRouter("router-0")
	f.addEngine("engine-0", "--step", "1ms", "--batch", "256")
	f.addEngine("engine-1", "--step", "1ms", "--batch", "256")
	f.configure("router-0")
	f.until("a chat is served", func() bool { return whole(f.chat("router-0", 3), 3) })
	routerCPU := cpuOf(b, f.router["router-0"].cmd.Process.Pid)
	agentCPU := cpuOf(b, f.agents["engine-0"].cmd.Process.Pid) + cpuOf(b, f.agents["engine-1"].cmd.Process.Pid)
	const tokens = 1000
	pieces := 0
	began := time.Now()
	for b.Loop() {
		var wait sync.WaitGroup
		for range streams {
			wait.Go(func() {
				if got := f.chat("router-0", tokens); !whole(got, tokens) {
					b.Errorf("not whole: %d %v %.300s", got.status, got.err, got.body)
				}
			})
		}
		wait.Wait()
		pieces += streams * tokens
	}
	elapsed := time.Since(began)
	routerCPU = cpuOf(b, f.router["router-0"].cmd.Process.Pid) - routerCPU
	agentCPU = cpuOf(b, f.agents["engine-0"].cmd.Process.Pid) + cpuOf(b, f.agents["engine-1"].cmd.Process.Pid) - agentCPU
	b.ReportMetric(float64(pieces)/elapsed.Seconds(), "pieces/s")
	b.ReportMetric(float64(pieces)/routerCPU.Seconds(), "pieces/router-core-s")
	b.ReportMetric(float64(pieces)/agentCPU.Seconds(), "pieces/agent-core-s")
	b.ReportMetric(0, "ns/op")
}
