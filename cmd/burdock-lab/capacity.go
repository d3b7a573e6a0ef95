package main

import (
	"fmt"
	"runtime"
	"strings"

	"burdockyard/io/bypage"
)

// The size that the requirements state for the whole deployment. The tables call it
// the letter's size.
const (
	targetNodes              = 330
	targetEngines            = 3800
	targetShards             = 130 // of about 30 engines of one model in one failure domain
	targetTenants            = 6000
	targetRequestRate        = 2600.0         // per second
	targetManifestChangeRate = 4800.0 / 86400 // per second
)

// capacityRow is a cost that is measured at several sizes and extrapolated by a
// linear fit to the size that the requirements state.
type capacityRow struct {
	name       string // what is measured
	sizeUnit   string // what the sizes count, in the plural
	unit       string
	sizes      []int
	valueAt    func(size int) float64
	targetSize float64 // size to which the fit is extrapolated
	multiplier float64 // converts the fitted value to resultUnit, e.g. by operations per second; 1 for a state
	resultUnit string  // unit of the extrapolated value
	limit      float64 // greatest allowed result, in resultUnit; 0 for none
}

type capacityCommand struct{ tableCommand }

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	var b strings.Builder
	b.WriteString("| measured | sizes | values | base + slope | at the letter's size | limit | headroom |\n|---|---|---|---|---|---|---|\n")
	for _, r := range capacityRows() {
		b.WriteString(r.markdownRow())
	}
	fmt.Print(b.String())
	if c.Page == "" {
		return nil
	}
	return bypage.ReplaceSection(c.Page, "capacity", b.String())
}

// markdownRow measures the cost at each size and returns the row of the table.
func (r capacityRow) markdownRow() string {
	var values []float64
	var sizes, shown []string
	for _, n := range r.sizes {
		v := r.valueAt(n)
		values = append(values, v)
		sizes = append(sizes, fmt.Sprint(n))
		shown = append(shown, fmt.Sprintf("%.4g", v))
	}
	base, slope := leastSquares(r.sizes, values)
	result := (base + slope*r.targetSize) * r.multiplier
	limit, headroom := "—", "—"
	if r.limit > 0 {
		limit = fmt.Sprintf("%.4g", r.limit)
		headroom = fmt.Sprintf("%.2g×", r.limit/result)
		if result > r.limit {
			headroom = "**over**, from " + r.sizeAtLimit(base, slope)
		}
	}
	return fmt.Sprintf("| %s, %s | %s %s | %s | %.4g + %.4g per %s | %.4g %s | %s | %s |\n",
		r.name, r.unit, strings.Join(sizes, ", "), r.sizeUnit, strings.Join(shown, ", "), base, slope, singular(r.sizeUnit), result, r.resultUnit, limit, headroom)
}

// sizeAtLimit returns the size, with its unit, at which the fit reaches the limit.
func (r capacityRow) sizeAtLimit(base, slope float64) string {
	return fmt.Sprintf("%.3g %s", (r.limit/r.multiplier-base)/slope, r.sizeUnit)
}

// singular returns the singular of a size unit.
func singular(per string) string {
	if stem, ok := strings.CutSuffix(per, "xes"); ok {
		return stem + "x"
	}
	return strings.TrimSuffix(per, "s")
}

// leastSquares returns the intercept and the slope of the least squares line.
func leastSquares(sizes []int, values []float64) (base, slope float64) {
	n := float64(len(sizes))
	var sx, sy, sxx, sxy float64
	for i, size := range sizes {
		x, y := float64(size), values[i]
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - slope*sx) / n, slope
}

// heapBytes returns the heap bytes that the result of makeValue keeps alive.
func heapBytes[T any](makeValue func() T) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // the first call only queues finalizers
	runtime.ReadMemStats(&before)
	v := makeValue()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
