// Command burdock-soak runs entry nodes as processes on loopback addresses,
// injects faults following a seeded plan, and prints a verdict for each seed.
//
// # Usage
//
//	burdock-soak --bin bin/burdock --seed 1 --seeds 50 --length 15s
//	burdock-soak --bin bin/burdock --seed 17 --keep  # repeats one seed, keeps its logs
//	burdock-soak --bin bin/burdock --previous HEAD~9 # in a checkout: with nodes of an older build
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
	Previous string        `long:"previous" description:"a commit whose program nodes run by turns with the other one: each restart is an upgrade or a step back"`
	Seed     uint64        `long:"seed" default:"1" description:"the first seed"`
	Seeds    int           `long:"seeds" default:"1" description:"how many seeds to run, one after another"`
	Nodes    int           `long:"nodes" default:"5" description:"entry nodes"`
	Callers  int           `long:"callers" default:"24" description:"callers at a time"`
	Routes   int           `long:"routes" description:"routes in the configuration that no caller uses: 3000 make it 0.6 MB long"`
	Length   time.Duration `long:"length" default:"15s" description:"of the part with faults"`
	Trouble  string        `long:"trouble" default:"turns" choice:"turns" choice:"faults" choice:"versions" choice:"faults-versions" choice:"cuts" choice:"wakes" choice:"endless" description:"what happens; in turns: another kind for each seed"`
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
	previous, remove, err := o.buildPrevious(ctx)
	if err != nil {
		return err
	}
	defer remove()
	failed := 0
	for i := range o.Seeds {
		ok, err := o.runSeed(ctx, program, previous, o.Seed+uint64(i))
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

// buildPrevious builds the program of the commit o.Previous in a temporary directory, which
// remove deletes. The program is empty if no commit is given.
func (o options) buildPrevious(ctx context.Context) (program string, remove func(), err error) {
	remove = func() {}
	if o.Previous == "" {
		return "", remove, nil
	}
	dir, err := os.MkdirTemp("", "burdock-previous-")
	if err != nil {
		return "", remove, err
	}
	remove = func() {
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, "burdock-soak:", err)
		}
	}
	program, err = bysoak.BuildCommit(ctx, o.Previous, dir)
	if err != nil {
		remove()
	}
	return program, remove, err
}

// runSeed runs one seed, prints its verdict and reports whether it passed. The
// logs are kept if it failed or if o.Keep is set.
func (o options) runSeed(ctx context.Context, program, previous string, seed uint64) (bool, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("burdock-soak-%d-", seed))
	if err != nil {
		return false, err
	}
	rep, err := bysoak.Run(ctx, bysoak.Config{Program: program, Previous: previous, Dir: dir, Seed: seed, Nodes: o.Nodes, Callers: o.Callers, Routes: o.Routes, FaultPeriod: o.Length, Trouble: o.trouble(seed)})
	if err != nil {
		return false, fmt.Errorf("seed %d, logs in %s: %w", seed, dir, err)
	}
	passed := len(rep.Violations) == 0
	verdict := "green"
	if !passed {
		verdict = "RED"
	}
	fmt.Printf("seed %d: %s, %s, %d faults, %d requests, %d answered, %d refused, %.3f served after recovery, streams taken up %v, begun %v, served where cut off %v, elsewhere %v, booked at silent runners %v\n",
		seed, verdict, o.trouble(seed), len(rep.Plan)-1, rep.Requests, rep.Answered, rep.Refused, rep.RecoveredShare,
		rep.TakenUp, rep.Begun, rep.CutOff, rep.Others, rep.Silenced)
	if o.trouble(seed) == bysoak.Endless {
		fmt.Printf("   peak memory of a node %d KiB, requests to runners without end that ended in time %v\n", rep.PeakMemoryKB, rep.Endless)
	}
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

// trouble returns the kind of trouble that a seed gets.
func (o options) trouble(seed uint64) bysoak.Trouble {
	if o.Trouble != "turns" {
		return bysoak.Trouble(o.Trouble)
	}
	all := bysoak.Troubles()
	return all[seed%uint64(len(all))]
}
