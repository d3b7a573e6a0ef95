package main

import (
	"fmt"
	"math"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard/io/bylab"
	"burdockyard/io/bypage"
)

// seeds are the seeds of the runs behind each figure.
var seeds = []uint64{11, 22, 33}

// figure is a number computed from the result of a run.
type figure struct {
	name   string
	format string // fmt verb for one value
	target string // as printed; empty for none
	value  func(*bylab.Result) float64
}

// measurement is a workload and the figures computed from its results.
type measurement struct {
	workload func(bylab.Deployment) bylab.Workload
	figures  []figure
}

// endOfArrivals is an upper limit of arrival times that no workload reaches.
const endOfArrivals = time.Hour

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func measurements() []measurement {
	list := []measurement{
		{func(d bylab.Deployment) bylab.Workload { return bylab.ShiftingMix(d, 0.9) }, []figure{
			{"shifts at 90% of the bound: goodput, share of what was asked", "%.3f", "≥ 0.90", (*bylab.Result).Goodput},
			{"shifts: p95 first token, ms", "%.0f", "≤ 360", func(r *bylab.Result) float64 { return milliseconds(r.TimeToFirstToken(0.95, 0, endOfArrivals)) }},
			{"shifts: p95 between tokens, ms", "%.0f", "≤ 55", func(r *bylab.Result) float64 { return milliseconds(r.TokenGap(0.95, 0, endOfArrivals)) }},
		}},
		{bylab.Burst, []figure{
			{"burst: callers served in time at once", "%.3f", "", (*bylab.Result).FirstTryShare},
			{"burst: callers served in time, at once or on return", "%.3f", "", (*bylab.Result).InTimeShare},
			{"burst: refused callers served when they first return", "%.3f", "1", (*bylab.Result).FirstRetryShare},
			{"burst: output made too late", "%.3f", "0", (*bylab.Result).WastedShare},
		}},
		{func(d bylab.Deployment) bylab.Workload { return bylab.Steady(d, 1, overloadSpan) }, []figure{
			{"load 1×: good output tokens/s", "%.0f", "", goodTokensPerSecond},
		}},
		{func(d bylab.Deployment) bylab.Workload { return bylab.Steady(d, 3, overloadSpan) }, []figure{
			{"load 3×: good output tokens/s", "%.0f", "≥ 0.95 of 1×", goodTokensPerSecond},
		}},
		{bylab.TenantFlood, []figure{
			{"one tenant floods: others served in time at once", "%.3f", "", (*bylab.Result).OtherTenantsShare},
		}},
		{bylab.RepeatedPrompts, []figure{
			{"plans read before: p95 whole answer, s", "%.1f", "", func(r *bylab.Result) float64 { d, _ := r.LongCallLatency(0.95); return d.Seconds() }},
		}},
		{func(d bylab.Deployment) bylab.Workload { return bylab.Mixed(d, 0.6, 0) }, firstTokenFigures("short alone")},
		{func(d bylab.Deployment) bylab.Workload { return bylab.Mixed(d, 0.8, 0.25) }, append(firstTokenFigures("short with long"),
			figure{"long: p95 whole answer, s", "%.1f", "", func(r *bylab.Result) float64 { d, _ := r.LongCallLatency(0.95); return d.Seconds() }},
			figure{"long: share answered", "%.3f", "", func(r *bylab.Result) float64 { _, s := r.LongCallLatency(0.95); return s }},
		)},
	}
	for n := range 4 {
		list = append(list, measurement{func(d bylab.Deployment) bylab.Workload { return bylab.Straggler(d, n) }, stragglerFigures(n)})
	}
	for _, b := range []struct {
		name  string
		fault bylab.Fault
	}{
		{"nothing breaks", bylab.Fault{}},
		{"a node is killed", bylab.Fault{At: faultAt, KillsNode: true}},
		{"an engine is lost", bylab.Fault{At: faultAt, LosesEngine: true}},
		{"digests stop for 20 s", bylab.Fault{At: faultAt, DigestOutage: 20 * time.Second}},
	} {
		list = append(list, measurement{func(d bylab.Deployment) bylab.Workload { return bylab.WithFault(d, b.fault) }, faultFigures(b.name)})
	}
	return list
}

// faultAt is when a fault is injected. Figures cover the ten seconds after it.
const faultAt = 20 * time.Second

func faultFigures(name string) []figure {
	const after = faultAt + 10*time.Second
	return []figure{
		{name + ": calls of the next 10 s served in time at once", "%.4f", "", func(r *bylab.Result) float64 { return r.FirstTryShareBetween(faultAt, after) }},
		{name + ": p99 first token of the next 10 s, ms", "%.0f", "", func(r *bylab.Result) float64 { return milliseconds(r.TimeToFirstToken(0.99, faultAt, after)) }},
	}
}

const overloadSpan = time.Minute

func goodTokensPerSecond(r *bylab.Result) float64 { return r.GoodTokensPerSecond(overloadSpan) }

func firstTokenFigures(label string) []figure {
	timeToFirstToken := func(q float64) func(*bylab.Result) float64 {
		return func(r *bylab.Result) float64 { return milliseconds(r.TimeToFirstToken(q, 0, endOfArrivals)) }
	}
	return []figure{
		{label + ": p50 first token, ms", "%.0f", "", timeToFirstToken(0.50)},
		{label + ": p95 first token, ms", "%.0f", "≤ 360", timeToFirstToken(0.95)},
		{label + ": p99 first token, ms", "%.0f", "with long ≤ 2× alone", timeToFirstToken(0.99)},
	}
}

func stragglerFigures(n int) []figure {
	const from, to = 30 * time.Second, 90 * time.Second
	label := fmt.Sprintf("%d slow: ", n)
	list := []figure{
		{label + "p99 first token, ms", "%.0f", "1 slow ≤ 1.5× none", func(r *bylab.Result) float64 { return milliseconds(r.TimeToFirstToken(0.99, from, to)) }},
		{label + "p99 between tokens, ms", "%.0f", "1 slow ≤ 1.5× none", func(r *bylab.Result) float64 { return milliseconds(r.TokenGap(0.99, from, to)) }},
	}
	if n > 0 {
		list = append(list,
			figure{label + "noticed after, s", "%.1f", "", (*bylab.Result).DetectionDelay},
			figure{label + "restored after, s", "%.1f", "", (*bylab.Result).RecoveryDelay})
	}
	return list
}

// tableCommand prints a table and, if Page is set, writes it into that file.
type tableCommand struct {
	Page string `long:"page" description:"file whose table of this name is replaced"`
}

func (c tableCommand) writeTable(name string, policies []bylab.PolicyFactory) error {
	var t table
	if err := t.writeRows(policies, measurements()); err != nil {
		return err
	}
	fmt.Print(t.String())
	if c.Page == "" {
		return nil
	}
	return bypage.ReplaceSection(c.Page, name, t.String())
}

type policyCommand struct{ tableCommand }

// Execute implements flags.Commander.
func (c *policyCommand) Execute([]string) error {
	return c.writeTable("policy", []bylab.PolicyFactory{bylab.RoundRobin(), bylab.LeastRequests(), bylab.Burdock()})
}

// table builds the text of a Markdown table.
type table struct{ strings.Builder }

func (t *table) writeRow(cells []string) { t.WriteString("| " + strings.Join(cells, " | ") + " |\n") }

// writeRows writes a row for each deployment and figure, with a column for each
// policy. A cell holds the mean, the least and the greatest value over the seeds.
func (t *table) writeRows(policies []bylab.PolicyFactory, list []measurement) error {
	header := []string{"deployment", "measure"}
	for _, p := range policies {
		header = append(header, p.Name)
	}
	header = append(header, "target")
	t.writeRow(header)
	t.writeRow(strings.Split(strings.Repeat("---,", len(header)-1)+"---", ","))
	for _, d := range []bylab.Deployment{bylab.Jadepeak, bylab.Bluebonnet} {
		for _, m := range list {
			if err := t.writeMeasurement(d, m, policies); err != nil {
				return err
			}
		}
	}
	fmt.Fprintf(t, "\nseeds %v; a cell is the mean over them (least to greatest)\n", seeds)
	return nil
}

// writeMeasurement runs a workload with each policy and seed and writes a row for
// each of its figures.
func (t *table) writeMeasurement(d bylab.Deployment, m measurement, policies []bylab.PolicyFactory) error {
	results := make([][]*bylab.Result, len(policies))
	var group errgroup.Group
	for i, p := range policies {
		results[i] = make([]*bylab.Result, len(seeds))
		for j, seed := range seeds {
			group.Go(func() error {
				results[i][j] = bylab.Run(d, m.workload(d), p, seed)
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, f := range m.figures {
		row := []string{d.Name, f.name}
		for i := range policies {
			row = append(row, formatCell(f, results[i]))
		}
		t.writeRow(append(row, f.target))
	}
	return nil
}

// formatCell returns a dash if the figure does not apply to the workload.
func formatCell(f figure, results []*bylab.Result) string {
	if math.IsNaN(f.value(results[0])) {
		return "—"
	}
	sum, least, greatest := 0.0, 0.0, 0.0
	for i, r := range results {
		x := f.value(r)
		sum += x
		if i == 0 || x < least {
			least = x
		}
		if i == 0 || x > greatest {
			greatest = x
		}
	}
	return fmt.Sprintf(f.format+" ("+f.format+" to "+f.format+")", sum/float64(len(results)), least, greatest)
}
