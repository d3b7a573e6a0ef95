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

// bench is a node with one engine, all in this process, on loopback.
type bench struct{ engine, node string }

func startBench(b *testing.B) bench {
	b.Helper()
	platform := httptest.NewServer(bystandin.NewPlatform(bystandin.PlatformConfig{WritesPerSecond: 300, ReadsPerSecond: 2000}))
	b.Cleanup(platform.Close)
	rates := byemu.Config{PrefillRate: 24000, DecodeRate: 24000, MaxStreams: 128, Role: burdockyard.RoleMixed}
	engine := bystandin.NewEngine(bystandin.EngineConfig{Emulated: rates, Fencing: true})
	engineServer := httptest.NewServer(engine)
	b.Cleanup(engineServer.CloseClientConnections)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = engine.Run(ctx) })
	addr := strings.TrimPrefix(engineServer.URL, "http://")
	p := byplatform.New(platform.URL)
	if _, err := bymanifest.Publish(ctx, p.Table(), p.Objects(), benchSpec(addr), 0); err != nil {
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
	for node.ready() != nil {
		time.Sleep(10 * time.Millisecond)
	}
	return bench{engine: addr, node: s.CallerAddr}
}

func benchSpec(addr string) bymanifest.Spec {
	return bymanifest.Spec{
		Name:    "bench",
		Models:  []bymanifest.ModelSpec{{Name: "m", Version: "1", PrefillRate: 24000, DecodeRate: 24000, MaxStreams: 128, MaxPrompt: 100000}},
		Engines: []bymanifest.EngineSpec{{Name: "e", Address: addr, Model: "m", Domain: "a", Role: "mixed", Fencing: true}},
		Classes: []bymanifest.ClassSpec{{Name: "c", FirstToken: 10 * time.Second, Deadline: time.Minute, Queue: 1000}},
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

// timing is how long one answer took.
type timing struct{ first, whole time.Duration }

func ask(client *http.Client, addr, id string) (timing, error) {
	var t timing
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":true}`, overheadPrompt, overheadTokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return t, err
	}
	req.Header.Set("X-Request-Id", id)
	began := time.Now()
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
		if tokens == 1 && t.first == 0 {
			t.first = time.Since(began)
		}
	}
	t.whole = time.Since(began)
	if tokens != overheadTokens {
		return t, fmt.Errorf("got %d tokens", tokens)
	}
	return t, nil
}

// askAll lets callers ask side by side and returns the medians.
func askAll(b *testing.B, client *http.Client, addr string, callers, round int) timing {
	b.Helper()
	results := make([]timing, callers)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			var err error
			if results[i], err = ask(client, addr, fmt.Sprintf("%s-%d-%d", addr, round, i)); err != nil {
				b.Error(err)
			}
		})
	}
	group.Wait()
	median := func(pick func(timing) time.Duration) time.Duration {
		var all []time.Duration
		for _, r := range results {
			all = append(all, pick(r))
		}
		slices.Sort(all)
		return all[len(all)/2]
	}
	return timing{
		first: median(func(t timing) time.Duration { return t.first }),
		whole: median(func(t timing) time.Duration { return t.whole }),
	}
}

// BenchmarkOverhead compares answers through a node with answers of the same
// engine asked directly, in turns within one run.
func BenchmarkOverhead(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			w := startBench(b)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
			askAll(b, client, w.engine, callers, -1)
			askAll(b, client, w.node, callers, -1)
			var direct, node timing
			round := 0
			for b.Loop() {
				d := askAll(b, client, w.engine, callers, round)
				n := askAll(b, client, w.node, callers, round)
				direct.first, direct.whole = direct.first+d.first, direct.whole+d.whole
				node.first, node.whole = node.first+n.first, node.whole+n.whole
				round++
			}
			b.ReportMetric(float64(node.first)/float64(direct.first), "first-token-ratio")
			b.ReportMetric(float64(node.whole)/float64(direct.whole), "whole-ratio")
			b.ReportMetric(float64(node.first-direct.first)/float64(round)/1e6, "first-token-added-ms")
		})
	}
}

// BenchmarkRelayAllocations counts the allocations of the whole process for one
// token more through a node, less those of the same token asked directly.
func BenchmarkRelayAllocations(b *testing.B) {
	w := startBench(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	askAll(b, client, w.node, 1, -1)
	var direct, node uint64
	round := 0
	for b.Loop() {
		direct += mallocs(func() { askAll(b, client, w.engine, 1, round) })
		node += mallocs(func() { askAll(b, client, w.node, 1, round) })
		round++
	}
	b.ReportMetric((float64(node)-float64(direct))/float64(round*overheadTokens), "allocs/token")
}

// BenchmarkRelayCPU compares the processor time of the whole process for one
// token through a node with that of one asked directly.
func BenchmarkRelayCPU(b *testing.B) {
	for _, callers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			w := startBench(b)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
			askAll(b, client, w.node, callers, -1)
			var direct, node time.Duration
			round := 0
			for b.Loop() {
				direct += cpu(b, func() { askAll(b, client, w.engine, callers, round) })
				node += cpu(b, func() { askAll(b, client, w.node, callers, round) })
				round++
			}
			tokens := time.Duration(round * callers * overheadTokens)
			b.ReportMetric(float64((node-direct)/tokens)/1000, "added-us/token")
			b.ReportMetric(float64(node)/float64(direct), "cpu-ratio")
		})
	}
}

// cpu returns the processor time that the process spends while f runs.
func cpu(b *testing.B, f func()) time.Duration {
	before := processTime(b)
	f()
	return processTime(b) - before
}

func processTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func mallocs(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.Mallocs - before.Mallocs
}
