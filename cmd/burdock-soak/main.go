// Command burdock-soak runs entry nodes as processes on loopback addresses,
// injects faults following a seeded plan, and prints a verdict for each seed.
//
// # Usage
//
//	burdock-soak --bin bin/burdock --seed 1 --seeds 50 --length 15s
//	burdock-soak --bin bin/burdock --seed 17 --keep  # repeats one seed, keeps its logs
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"burdockyard/io/bysoak"
)

// options are the command-line flags.
type options struct {
	Bin      string        `long:"bin" default:"bin/burdock" description:"the burdock program"`
	Seed     uint64        `long:"seed" default:"1" description:"the first seed"`
	Seeds    int           `long:"seeds" default:"1" description:"how many seeds to run, one after another"`
	Nodes    int           `long:"nodes" default:"5" description:"entry nodes"`
	Callers  int           `long:"callers" default:"24" description:"callers at a time"`
	Length   time.Duration `long:"length" default:"15s" description:"of the part with faults"`
	Versions string        `long:"versions" default:"turns" choice:"turns" choice:"one" choice:"among" choice:"alone" description:"releases of decode runners: none, among other faults, alone, or these three in turn by seed"`
	Keep     bool          `long:"keep" description:"keep the logs, also of a seed that passed"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "burdock-soak:", err)
		os.Exit(1)
	}
}

// errViolation is returned when at least one seed broke a guarantee.
var errViolation = errors.New("a promise was broken")

func run() error {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		return err
	}
	program, err := filepath.Abs(o.Bin)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	failed := 0
	for i := range o.Seeds {
		ok, err := o.runSeed(ctx, program, o.Seed+uint64(i))
		if err != nil {
			return err
		}
		if !ok {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d red\n", o.Seeds, failed)
	if failed > 0 {
		return errViolation
	}
	return nil
}

// runSeed runs one seed, prints its verdict and reports whether it passed. The
// logs are kept if it failed or if o.Keep is set.
func (o options) runSeed(ctx context.Context, program string, seed uint64) (bool, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("burdock-soak-%d-", seed))
	if err != nil {
		return false, err
	}
	rep, err := bysoak.Run(ctx, bysoak.Config{Program: program, Dir: dir, Seed: seed, Nodes: o.Nodes, Callers: o.Callers, FaultPeriod: o.Length, Versions: o.versions(seed)})
	if err != nil {
		return false, fmt.Errorf("seed %d, logs in %s: %w", seed, dir, err)
	}
	passed := len(rep.Violations) == 0
	verdict := "green"
	if !passed {
		verdict = "RED"
	}
	fmt.Printf("seed %d: %s, versions %s, %d faults, %d requests, %d answered, %d refused, %.3f served after recovery, %d of %d streams taken up, %d of %d begun\n",
		seed, verdict, o.versions(seed), len(rep.Plan)-1, rep.Requests, rep.Answered, rep.Refused, rep.RecoveredShare,
		rep.TakenUp.Part, rep.TakenUp.All, rep.Begun.Part, rep.Begun.All)
	if !passed {
		for _, line := range append(rep.Plan, rep.Violations...) {
			fmt.Println("  ", line)
		}
	}
	if !passed || o.Keep {
		fmt.Println("   logs in", dir)
		return passed, nil
	}
	return true, os.RemoveAll(dir)
}

// versions returns the trouble with versions that a seed gets.
func (o options) versions(seed uint64) bysoak.VersionTrouble {
	if o.Versions != "turns" {
		return bysoak.VersionTrouble(o.Versions)
	}
	return []bysoak.VersionTrouble{bysoak.OneVersion, bysoak.VersionsAmong, bysoak.VersionsAlone}[seed%3]
}
