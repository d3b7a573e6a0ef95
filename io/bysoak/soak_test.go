package bysoak_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"burdockyard/io/bysoak"
)

// seeds are the seeds that CI runs: one for a short run, and each seed that ever
// failed, with a comment that states the cause.
var seeds = []uint64{
	1,
	7004, 7005, // responses without end bore no signature of their request: a fault of the stub
}

func TestSoakKeepsGuarantees(t *testing.T) { soak(t, bysoak.Faults, seeds...) }

// TestSoakKeepsStreamVersions guards against streams that are joined of the events of two
// versions of the runners' software, and against refusing all that callers take up.
func TestSoakKeepsStreamVersions(t *testing.T) {
	soak(t, bysoak.Versions, 1)
	soak(t, bysoak.FaultsVersions, 2)
}

// TestSoakServesCallersOfCutOffNodes guards against nodes that are cut off from all runners
// and serve nobody.
func TestSoakServesCallersOfCutOffNodes(t *testing.T) { soak(t, bysoak.Cuts, 5, 8) }

// soak runs the given seeds.
func soak(t *testing.T, trouble bysoak.Trouble, seeds ...uint64) {
	t.Helper()
	program := filepath.Join(t.TempDir(), "burdock")
	if out, err := exec.Command("go", "build", "-o", program, "burdockyard/cmd/burdock").CombinedOutput(); err != nil {
		t.Fatalf("build of cmd/burdock failed: %v: %s", err, out)
	}
	for _, seed := range seeds {
		rep, err := bysoak.Run(context.Background(), bysoak.Config{
			Program: program, Dir: t.TempDir(), Seed: seed, Nodes: 3, Callers: 6, FaultPeriod: 5 * time.Second, Trouble: trouble,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: taken up %v, begun %v, served where cut off %v, elsewhere %v", seed, rep.TakenUp, rep.Begun, rep.CutOff, rep.Others)
		for _, v := range rep.Violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		if t.Failed() {
			t.Log(rep.Plan)
		}
	}
}
