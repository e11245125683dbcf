package dev

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/capersaddle/capersaddle/internal/target/fakeengine"
)

// postChat sends a chat request and reads the response to its end. It returns the time to the
// first byte of the body and the total time.
func postChat(b testing.TB, url, body string) (first, total time.Duration) {
	start := time.Now()
	request, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+Key)
	response, err := benchClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	one := make([]byte, 1)
	_, _ = io.ReadFull(response.Body, one)
	first = time.Since(start)
	rest, err := io.ReadAll(response.Body)
	if err != nil || !strings.Contains(string(rest), "[DONE]") {
		b.Fatalf("incomplete response: status %d: %v %s", response.StatusCode, err, rest)
	}
	return first, time.Since(start)
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func quantileOf(times []time.Duration, q float64) float64 {
	slices.Sort(times)
	return float64(times[int(q*float64(len(times)-1))].Microseconds())
}

// BenchmarkAddedLatency compares the time to the first byte through a router and an agent with
// that of a direct call to the emulated engine. The two calls alternate at 24 requests per
// second, with no background load and with 50 concurrent streams of 1,000 pieces per second
// each.
func BenchmarkAddedLatency(b *testing.B) {
	for _, streams := range []int{0, 50} {
		b.Run(fmt.Sprintf("streams-%d", streams), func(b *testing.B) { measureLatency(b, streams) })
	}
}

func measureLatency(b *testing.B, streams int) {
	stack := startStack(b)
	direct := fakeengine.New(fakeengine.Options{Name: "direct", Step: time.Millisecond}, Model)
	server := httptest.NewServer(direct.Handler())
	defer server.Close()
	routerURL := "http://" + stack.Routers[0].Addresses().Callers
	for _, engine := range stack.Engines {
		engine.SetStep(time.Millisecond)
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range streams {
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					postChat(b, routerURL, chatBody(200, message("user", fmt.Sprintf("background %d", i))))
				}
			}
		})
	}
	var directTimes, routedTimes []time.Duration
	body := chatBody(1, message("user", "short"))
	ticker := time.NewTicker(time.Second / 24)
	for b.Loop() {
		<-ticker.C
		first, _ := postChat(b, server.URL, body)
		directTimes = append(directTimes, first)
		first, _ = postChat(b, routerURL, body)
		routedTimes = append(routedTimes, first)
	}
	close(stop)
	wait.Wait()
	b.ReportMetric(quantileOf(directTimes, 0.5), "direct-p50-us")
	b.ReportMetric(quantileOf(directTimes, 0.99), "direct-p99-us")
	b.ReportMetric(quantileOf(routedTimes, 0.5), "through-p50-us")
	b.ReportMetric(quantileOf(routedTimes, 0.99), "through-p99-us")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkTokens streams as much as it can through one router. It reports the pieces per
// second of CPU time of the whole process: callers, router, agents and emulators together.
func BenchmarkTokens(b *testing.B) {
	stack := startStack(b)
	for _, engine := range stack.Engines {
		engine.SetStep(time.Millisecond)
	}
	routerURL := "http://" + stack.Routers[0].Addresses().Callers
	const streams, tokens = 200, 1000
	var pieces atomic.Int64
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start, cpuBefore := time.Now(), cpuTime()
	for b.Loop() {
		var wait sync.WaitGroup
		for i := range streams {
			wait.Go(func() {
				postChat(b, routerURL, chatBody(tokens, message("user", fmt.Sprintf("stream %d", i))))
				pieces.Add(tokens)
			})
		}
		wait.Wait()
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(pieces.Load())/time.Since(start).Seconds(), "pieces/s")
	b.ReportMetric(float64(pieces.Load())/(cpuTime()-cpuBefore).Seconds(), "pieces/cpu-s")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(pieces.Load()), "allocs/piece")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkRequests sends short requests from many concurrent callers.
func BenchmarkRequests(b *testing.B) {
	stack := startStack(b)
	for _, engine := range stack.Engines {
		engine.SetStep(time.Millisecond)
	}
	routerURL := "http://" + stack.Routers[0].Addresses().Callers
	const callers, perCaller = 64, 50
	var count atomic.Int64
	start, cpuBefore := time.Now(), cpuTime()
	for b.Loop() {
		var wait sync.WaitGroup
		for i := range callers {
			wait.Go(func() {
				for j := range perCaller {
					postChat(b, routerURL, chatBody(1, message("user", fmt.Sprintf("request %d %d", i, j))))
					count.Add(1)
				}
			})
		}
		wait.Wait()
	}
	b.ReportMetric(float64(count.Load())/time.Since(start).Seconds(), "requests/s")
	b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/float64(count.Load()), "cpu-us/request")
	b.ReportMetric(0, "ns/op")
}
