package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"burdockyard/core/bypatch"
	"burdockyard/io/bypage"
)

type changesCommand struct{ tableCommand }

// changedRoutes is how many routes a large change adds.
const changedRoutes = 1400

// Execute implements flags.Commander. It measures what nodes send each other for a change of the
// configuration, beside the whole row, compressed and not.
func (c *changesCommand) Execute([]string) error {
	var b strings.Builder
	b.WriteString("| routes, workspaces | change | whole row, KB | compressed, KB | patch, KB | encode, ms | decode, ms |\n|---|---|---|---|---|---|---|\n")
	for _, size := range []configSize{{50, 0}, {2848, 0}, {2848, 6000}, {50_000, 0}, {50_000, 6000}} {
		for _, change := range []struct {
			name       string
			seed       uint64
			configSize // of the configuration afterwards
		}{
			{"nothing but the version", 1, size},
			{"one key", 1, configSize{size.routes, size.workspaces - 1}},
			{"one route", 1, configSize{size.routes + 1, size.workspaces}},
			{fmt.Sprintf("%d routes", changedRoutes), 1, configSize{size.routes + changedRoutes, size.workspaces}},
			{"everything", 2, size},
		} {
			if change.workspaces < 0 {
				continue
			}
			row, err := changeRow(configText(1, 7, size), configText(change.seed, 9, change.configSize))
			if err != nil {
				return err
			}
			fmt.Fprintf(&b, "| %d, %d | %s | %s |\n", size.routes, size.workspaces, change.name, row)
		}
	}
	fmt.Print(b.String())
	if c.Page == "" {
		return nil
	}
	return bypage.ReplaceSection(c.Page, "changes", b.String())
}

// configSize is the size of a configuration.
type configSize struct{ routes, workspaces int }

// configText returns a configuration as operators write it, with random names and hashes of keys.
// Those of the same seed have the first routes and workspaces in common.
func configText(seed, version uint64, size configSize) []byte {
	routes, workspaces := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	out := fmt.Appendf(nil, `{"version":%d,"tenants":[`, version)
	for range size.workspaces {
		out = fmt.Appendf(out, `{"name":"t-%07x","apiKeyHashes":["%016x%016x%016x%016x"]},`, workspaces.Uint32()>>4, workspaces.Uint64(), workspaces.Uint64(), workspaces.Uint64(), workspaces.Uint64())
	}
	out = append(out, `],"routes":[`...)
	for range size.routes {
		out = fmt.Appendf(out, `{"name":"r-%07x","host":"%06x.example","prefix":"/%07x/","kind":"streaming","timeoutMs":3000,"targetLatencyMs":800,"priority":%d,"service":"s-%x","attempts":1,"stickySessions":true,"resumable":false,"targetGapMs":300},`,
			routes.Uint32()>>4, routes.Uint32()>>8, routes.Uint32()>>4, routes.IntN(3), routes.IntN(4))
	}
	return append(out, "]}"...)
}

// changeRow measures the patch from one value to another.
func changeRow(base, value []byte) (string, error) {
	whole, err := bypatch.Encode(value, nil)
	if err != nil {
		return "", err
	}
	patch, err := bypatch.Encode(value, base)
	if err != nil {
		return "", err
	}
	encode := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			if _, err := bypatch.Encode(value, base); err != nil {
				b.Fatal(err)
			}
		}
	})
	decode := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			if _, err := bypatch.Decode(patch, 2*len(value), base); err != nil {
				b.Fatal(err)
			}
		}
	})
	return fmt.Sprintf("%.1f | %.1f | %.2f | %.1f | %.1f", kilobytes(value), kilobytes(whole), kilobytes(patch), millis(encode), millis(decode)), nil
}

func kilobytes(data []byte) float64 { return float64(len(data)) / 1000 }

func millis(r testing.BenchmarkResult) float64 { return float64(r.NsPerOp()) / nsPerMs }
