package bysoak_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"burdockyard/io/bysoak"
)

// seeds are the seeds that CI runs: one for a short run, and each seed that ever
// failed, with a comment that states the cause.
var seeds = []uint64{
	1,
	7004, // responses without end bore no signature of their request: a fault of the stub
}

func TestSoakKeepsGuarantees(t *testing.T) { report(t, soak(t, bysoak.Faults, seeds...)) }

// TestSoakKeepsGuaranteesAfterKillOfAll guards against poisoned prompts that end engines again
// when all nodes have been killed after the prompts were quarantined.
func TestSoakKeepsGuaranteesAfterKillOfAll(t *testing.T) { report(t, soak(t, bysoak.Faults, 7005)) }

// TestSoakKeepsStreamVersions guards against streams that are joined of the events of two
// versions of the runners' software.
func TestSoakKeepsStreamVersions(t *testing.T) {
	report(t, slices.DeleteFunc(soakVersions(t), isAboutTakeUps))
}

// TestSoakTakesStreamsUp guards against nodes that refuse most streams which callers take up,
// so as not to join them of two versions.
func TestSoakTakesStreamsUp(t *testing.T) {
	report(t, slices.DeleteFunc(soakVersions(t), func(v string) bool { return !isAboutTakeUps(v) }))
}

// TestSoakServesCallersOfCutOffNodes guards against nodes that are cut off from all runners
// and serve nobody.
func TestSoakServesCallersOfCutOffNodes(t *testing.T) { report(t, soak(t, bysoak.Cuts, 5, 8)) }

// TestSoakKeepsVersionsWhereNodesWake guards against streams that go on at another version at
// a node that was frozen: what had waited in its sockets counted as new.
func TestSoakKeepsVersionsWhereNodesWake(t *testing.T) { report(t, soak(t, bysoak.Wakes, 1)) }

// TestSoakBearsBytesWithoutEnd guards against runners that send bytes without end, in a header, a
// body, an event or a refusal: nodes must not keep them until their memory is used up, and must
// end the request in time.
func TestSoakBearsBytesWithoutEnd(t *testing.T) { report(t, soak(t, bysoak.Endless, 1)) }

// isAboutTakeUps reports whether a violation is one of the share of the streams that go on.
func isAboutTakeUps(violation string) bool { return strings.Contains(violation, ": take-ups: ") }

// versionViolations holds what soakVersions has found, so that two tests share its runs.
var versionViolations []string

// soakVersions runs the seeds with releases of versions, unless this was done before, and
// returns the violations.
func soakVersions(t *testing.T) []string {
	t.Helper()
	if versionViolations == nil {
		versionViolations = append(soak(t, bysoak.Versions, 1), soak(t, bysoak.FaultsVersions, 2)...)
		versionViolations = append(versionViolations, "") // so that it is not nil
	}
	return slices.DeleteFunc(slices.Clone(versionViolations), func(v string) bool { return v == "" })
}

func report(t *testing.T, violations []string) {
	t.Helper()
	for _, v := range violations {
		t.Error(v)
	}
}

// TestSoakBesideProduction guards against nodes that do not understand what those of the version
// in production tell and store, or the reverse: nodes of both run side by side, and each restart is
// an upgrade or a step back.
func TestSoakBesideProduction(t *testing.T) {
	settings, err := os.ReadFile("../../deploy/system.toml")
	if err != nil {
		t.Fatal(err)
	}
	production := regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`).FindSubmatch(settings)
	if production == nil {
		t.Fatal("deploy/system.toml names no production commit")
	}
	previous, err := bysoak.BuildCommit(t.Context(), string(production[1]), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	report(t, soakBeside(t, previous, bysoak.Faults, 41))
}

// callers returns the number of callers at a time. Where nodes wake, the take-ups of one
// moment count.
func callers(trouble bysoak.Trouble) int {
	if trouble == bysoak.Wakes {
		return 60
	}
	return 6
}

// soak runs the given seeds and returns the violations.
func soak(t *testing.T, trouble bysoak.Trouble, seeds ...uint64) []string {
	t.Helper()
	return soakBeside(t, "", trouble, seeds...)
}

// soakBeside is like soak, with nodes of the given older build by turns if it is not empty.
func soakBeside(t *testing.T, previous string, trouble bysoak.Trouble, seeds ...uint64) []string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "burdock")
	if out, err := exec.Command("go", "build", "-o", program, "burdockyard/cmd/burdock").CombinedOutput(); err != nil {
		t.Fatalf("build of cmd/burdock failed: %v: %s", err, out)
	}
	var violations []string
	for _, seed := range seeds {
		rep, err := bysoak.Run(context.Background(), bysoak.Config{
			Program: program, Previous: previous, Dir: t.TempDir(), Seed: seed, Nodes: 3, Callers: callers(trouble), FaultPeriod: 5 * time.Second, Trouble: trouble,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: taken up %v, begun %v, served where cut off %v, elsewhere %v", seed, rep.TakenUp, rep.Begun, rep.CutOff, rep.Others)
		for _, v := range rep.Violations {
			violations = append(violations, fmt.Sprintf("seed %d: %s", seed, v))
		}
		if len(rep.Violations) > 0 {
			t.Log(strings.Join(rep.Plan, "\n"))
		}
	}
	return violations
}
