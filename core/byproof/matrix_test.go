package byproof

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"

	"burdockyard/io/bypage"
)

const (
	// sampleStride is the number of calls from one fault to the next in a run
	// without BURDOCK_FAULTS=full. Each kind of fault starts at another call.
	sampleStride = 41
	// pairSeed seeds the random choice of pairs of faults.
	pairSeed = 20261204
	// pairsSampled and pairsFull are the numbers of pairs tried for each scenario in
	// a sampled and a full run.
	pairsSampled   = 10
	pairsFull      = 300
	faultsPagePath = "../../docs/FAULTS.md"
)

// isFullRun reports whether to try every call rather than a sample.
func isFullRun() bool { return os.Getenv("BURDOCK_FAULTS") == "full" }

// cellCounts counts the runs and the failed runs of one cell of the matrix.
type cellCounts struct{ runs, failed int }

// matrix holds the results of all runs, by scenario and fault. No other lock is
// taken while mu is held.
type matrix struct {
	mu    sync.Mutex
	cells map[string]map[string]cellCounts
	calls int // number of calls in the runs without a fault, over all scenarios
}

func (m *matrix) addCalls(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls += n
}

func (m *matrix) add(scenario, kind string, violations []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cells[scenario] == nil {
		m.cells[scenario] = map[string]cellCounts{}
	}
	c := m.cells[scenario][kind]
	c.runs++
	if len(violations) > 0 {
		c.failed++
	}
	m.cells[scenario][kind] = c
}

// TestFaultMatrix runs every scenario under every fault at every call, or at a
// fixed sample of the calls, and then under pairs of faults.
func TestFaultMatrix(t *testing.T) {
	m := &matrix{cells: map[string]map[string]cellCounts{}}
	t.Run("scenarios", func(t *testing.T) {
		for _, sc := range scenarios {
			t.Run(sc.name, func(t *testing.T) {
				t.Parallel()
				runScenario(t, m, sc)
			})
		}
	})
	m.writeTable(t)
}

func runScenario(t *testing.T, m *matrix, sc scenario) {
	violations, calls, _ := simulate(t, sc, mutant{})
	m.add(sc.name, "none", violations)
	m.addCalls(calls)
	expectNoViolations(t, "no fault", violations)
	t.Run("kinds", func(t *testing.T) {
		for i, kind := range faultKinds {
			t.Run(string(kind), func(t *testing.T) {
				t.Parallel()
				runFaultKind(t, m, sc, kind, i)
			})
		}
		t.Run("pairs", func(t *testing.T) {
			t.Parallel()
			runFaultPairs(t, m, sc, calls)
		})
	})
}

// runFaultKind applies one kind of fault at one call after another, until the
// script ends before the fault fires.
func runFaultKind(t *testing.T, m *matrix, sc scenario, kind faultKind, offset int) {
	at, stride := 1+offset*3, sampleStride
	if isFullRun() {
		at, stride = 1, 1
	}
	for ; ; at += stride {
		f := fault{kind: kind, at: at}
		violations, _, fired := simulate(t, sc, mutant{}, f)
		if fired == 0 {
			return
		}
		m.add(sc.name, string(kind), violations)
		expectNoViolations(t, fmt.Sprintf("%s at call %d", kind, at), violations)
	}
}

func runFaultPairs(t *testing.T, m *matrix, sc scenario, calls int) {
	rnd := rand.New(rand.NewPCG(pairSeed, uint64(sc.promise)))
	n := pairsSampled
	if isFullRun() {
		n = pairsFull
	}
	for range n {
		a := fault{kind: faultKinds[rnd.IntN(len(faultKinds))], at: 1 + rnd.IntN(calls)}
		b := fault{kind: faultKinds[rnd.IntN(len(faultKinds))], at: 1 + rnd.IntN(calls)}
		violations, _, _ := simulate(t, sc, mutant{}, a, b)
		m.add(sc.name, "pairs", violations)
		expectNoViolations(t, fmt.Sprintf("%s at call %d and %s at call %d", a.kind, a.at, b.kind, b.at), violations)
	}
}

func expectNoViolations(t *testing.T, what string, violations []string) {
	t.Helper()
	if len(violations) > 0 {
		t.Errorf("%s:\n  %s", what, strings.Join(violations, "\n  "))
	}
}

// writeTable prints a table with a row for each fault and a column for each
// scenario, giving the number of runs and of failed runs. A full run also writes
// the table to the page at faultsPagePath.
func (m *matrix) writeTable(t *testing.T) {
	var b strings.Builder
	columns := []string{"none"}
	for _, k := range faultKinds {
		columns = append(columns, string(k))
	}
	columns = append(columns, "pairs")
	b.WriteString("| fault | " + strings.Join(scenarioNames(), " | ") + " |\n")
	b.WriteString("|---|" + strings.Repeat("---|", len(scenarios)) + "\n")
	runs, failed := 0, 0
	for _, c := range columns {
		b.WriteString("| " + c + " |")
		for _, sc := range scenarios {
			cell := m.cells[sc.name][c]
			runs += cell.runs
			failed += cell.failed
			b.WriteString(cell.String())
		}
		b.WriteString("\n")
	}
	fmt.Fprintf(&b, "\nfaults: %d runs, %d steps, %d red\n", runs, m.calls, failed)
	fmt.Print(b.String())
	if isFullRun() {
		if err := bypage.ReplaceSection(faultsPagePath, "matrix", b.String()); err != nil {
			t.Error(err)
		}
	}
}

func (c cellCounts) String() string {
	if c.failed > 0 {
		return fmt.Sprintf(" %d, **%d red** |", c.runs, c.failed)
	}
	return fmt.Sprintf(" %d |", c.runs)
}

func scenarioNames() []string {
	var names []string
	for _, sc := range scenarios {
		names = append(names, fmt.Sprintf("%d %s", sc.promise, sc.name))
	}
	return names
}
