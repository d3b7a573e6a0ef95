package bynode

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"burdockyard"
	"burdockyard/core/bymanifest"
	"burdockyard/io/byconfig"
	"burdockyard/io/byemu"
	"burdockyard/io/byplatform"
	"burdockyard/io/bystandin"
)

const (
	overheadTokens = 40
	overheadPrompt = "How steep is a slate roof on the north side?"
)

// benchmarkSetup holds the loopback addresses of a node and its only engine, which
// both run in this process.
type benchmarkSetup struct{ engineAddr, nodeAddr string }

func startEngineAndNode(b *testing.B) benchmarkSetup {
	b.Helper()
	platform := httptest.NewServer(bystandin.NewPlatform(bystandin.PlatformConfig{WritesPerSecond: 300, ReadsPerSecond: 2000}))
	b.Cleanup(platform.Close)
	rates := byemu.Config{PrefillRate: 24000, DecodeRate: 24000, MaxStreams: 128, Role: burdockyard.RoleMixed}
	engine := bystandin.NewEngine(bystandin.EngineConfig{Emulation: rates, EnforcesFencing: true})
	engineServer := httptest.NewServer(engine)
	b.Cleanup(engineServer.CloseClientConnections)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = engine.Run(ctx) })
	addr := strings.TrimPrefix(engineServer.URL, "http://")
	p := byplatform.New(platform.URL)
	if _, err := bymanifest.Publish(ctx, p.Table(), p.Objects(), singleEngineSpec(addr), 0); err != nil {
		b.Fatal(err)
	}
	s := byconfig.DefaultSettings()
	s.Node, s.Domain, s.Platform, s.ResumeKey = "n1", "a", platform.URL, strings.Repeat("ab", 16)
	s.CallerAddr, s.PeerAddr = freeAddr(b), freeAddr(b)
	s.AddressTTL, s.LogLevel = time.Millisecond, "error"
	node, err := Build(s, io.Discard)
	if err != nil {
		b.Fatal(err)
	}
	group.Go(func() { _ = node.Run(ctx) })
	b.Cleanup(func() { cancel(); group.Wait() })
	for node.checkReady() != nil {
		time.Sleep(10 * time.Millisecond)
	}
	return benchmarkSetup{engineAddr: addr, nodeAddr: s.CallerAddr}
}

func singleEngineSpec(addr string) bymanifest.Spec {
	return bymanifest.Spec{
		Name:    "bench",
		Models:  []bymanifest.ModelSpec{{Name: "m", Version: "1", PrefillRate: 24000, DecodeRate: 24000, MaxStreams: 128, MaxPrompt: 100000}},
		Engines: []bymanifest.EngineSpec{{Name: "e", Address: addr, Model: "m", Domain: "a", Role: "mixed", EnforcesFencing: true}},
		Classes: []bymanifest.ClassSpec{{Name: "c", FirstToken: 10 * time.Second, Deadline: time.Minute, MaxQueued: 1000}},
		Tenants: []bymanifest.TenantSpec{{Name: "t", Weight: 1}},
	}
}

func freeAddr(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// latency holds the times from sending a request to the first token and to the
// end of the response.
type latency struct{ firstToken, total time.Duration }

func requestCompletion(client *http.Client, addr, id string) (latency, error) {
	var t latency
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":true}`, overheadPrompt, overheadTokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return t, err
	}
	req.Header.Set("X-Request-Id", id)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return t, err
	}
	defer resp.Body.Close()
	tokens := 0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "data: {") {
			tokens++
		}
		if tokens == 1 && t.firstToken == 0 {
			t.firstToken = time.Since(start)
		}
	}
	t.total = time.Since(start)
	if tokens != overheadTokens {
		return t, fmt.Errorf("response has %d tokens, want overheadTokens", tokens)
	}
	return t, nil
}

// requestConcurrently sends one request from each of the concurrent callers and
// returns the median latencies.
func requestConcurrently(b *testing.B, client *http.Client, addr string, callers, round int) latency {
	b.Helper()
	results := make([]latency, callers)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			var err error
			if results[i], err = requestCompletion(client, addr, fmt.Sprintf("%s-%d-%d", addr, round, i)); err != nil {
				b.Error(err)
			}
		})
	}
	group.Wait()
	median := func(pick func(latency) time.Duration) time.Duration {
		var all []time.Duration
		for _, r := range results {
			all = append(all, pick(r))
		}
		slices.Sort(all)
		return all[len(all)/2]
	}
	return latency{
		firstToken: median(func(t latency) time.Duration { return t.firstToken }),
		total:      median(func(t latency) time.Duration { return t.total }),
	}
}

// BenchmarkOverhead compares the latency of requests through a node with that of
// requests sent directly to the same engine. The two alternate within one run.
func BenchmarkOverhead(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			setup := startEngineAndNode(b)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
			requestConcurrently(b, client, setup.engineAddr, callers, -1)
			requestConcurrently(b, client, setup.nodeAddr, callers, -1)
			var direct, node latency
			round := 0
			for b.Loop() {
				d := requestConcurrently(b, client, setup.engineAddr, callers, round)
				n := requestConcurrently(b, client, setup.nodeAddr, callers, round)
				direct.firstToken, direct.total = direct.firstToken+d.firstToken, direct.total+d.total
				node.firstToken, node.total = node.firstToken+n.firstToken, node.total+n.total
				round++
			}
			b.ReportMetric(float64(node.firstToken)/float64(direct.firstToken), "first-token-ratio")
			b.ReportMetric(float64(node.total)/float64(direct.total), "whole-ratio")
			b.ReportMetric(float64(node.firstToken-direct.firstToken)/float64(round)/1e6, "first-token-added-ms")
		})
	}
}

// BenchmarkRelayAllocations measures the allocations per token that a node adds:
// those of the whole process for requests through the node, less those for requests
// sent directly to the engine.
func BenchmarkRelayAllocations(b *testing.B) {
	setup := startEngineAndNode(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	requestConcurrently(b, client, setup.nodeAddr, 1, -1)
	var direct, node uint64
	round := 0
	for b.Loop() {
		direct += mallocsOf(func() { requestConcurrently(b, client, setup.engineAddr, 1, round) })
		node += mallocsOf(func() { requestConcurrently(b, client, setup.nodeAddr, 1, round) })
		round++
	}
	b.ReportMetric((float64(node)-float64(direct))/float64(round*overheadTokens), "allocs/token")
}

// BenchmarkRelayCPU compares the CPU time of the whole process per token for
// requests through a node with that for requests sent directly to the engine.
func BenchmarkRelayCPU(b *testing.B) {
	for _, callers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			setup := startEngineAndNode(b)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
			requestConcurrently(b, client, setup.nodeAddr, callers, -1)
			var direct, node time.Duration
			round := 0
			for b.Loop() {
				direct += cpuTimeOf(b, func() { requestConcurrently(b, client, setup.engineAddr, callers, round) })
				node += cpuTimeOf(b, func() { requestConcurrently(b, client, setup.nodeAddr, callers, round) })
				round++
			}
			tokens := time.Duration(round * callers * overheadTokens)
			b.ReportMetric(float64((node-direct)/tokens)/1000, "added-us/token")
			b.ReportMetric(float64(node)/float64(direct), "cpu-ratio")
		})
	}
}

// cpuTimeOf returns the CPU time that the whole process spends while f runs.
func cpuTimeOf(b *testing.B, f func()) time.Duration {
	before := processCPUTime(b)
	f()
	return processCPUTime(b) - before
}

func processCPUTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func mallocsOf(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.Mallocs - before.Mallocs
}
