package main

import (
	"fmt"
	"time"

	"burdockyard/io/bydrill"
)

// drillCommand plays each fault of bydrill and prints what came of it.
type drillCommand struct {
	Nodes int     `long:"nodes" default:"9" description:"nodes of the fleet"`
	Seed  uint64  `long:"seed" default:"1" description:"the first seed"`
	Seeds int     `long:"seeds" default:"1" description:"how many seeds to play for each fault"`
	Limit float64 `long:"limit" default:"5.9" description:"requests per second that the endpoint names"`
}

// Execute implements flags.Commander.
func (c *drillCommand) Execute([]string) error {
	if c.Nodes < 3 || c.Limit < 0 || c.Seeds < 1 {
		return fmt.Errorf("--nodes %d --limit %g --seeds %d: want 3 nodes or more, a limit from 0, and a seed or more", c.Nodes, c.Limit, c.Seeds)
	}
	fmt.Println("| fault | seed | crashes by one input | its requests after the bound | sound ones that begin | most in 4 s under the limit | requests per second |\n|---|---|---|---|---|---|---|")
	for _, fault := range bydrill.Faults() {
		for i := range c.Seeds {
			cfg := bydrill.Config{Nodes: c.Nodes, Seed: c.Seed + uint64(i), Fault: fault}
			poison, limit := bydrill.PlayPoison(cfg, 24*time.Second), bydrill.PlayLimit(cfg, c.Limit)
			fmt.Printf("| %s | %d | %d | %d | %d of %d | %d | %.1f |\n", fault, cfg.Seed, poison.Crashes, poison.Late, poison.Begun, poison.Sound, limit.Most, limit.Mean)
		}
	}
	c.printVersions()
	return nil
}

// printVersions plays releases with each fault and prints what came of them.
func (c *drillCommand) printVersions() {
	fmt.Println("\n| fault | seed | streams at two versions | taken up that go on | new ones that begin | held to their end | writes to the store | longest wait of a version for its share |\n|---|---|---|---|---|---|---|---|")
	for _, fault := range bydrill.VersionFaults() {
		for i := range c.Seeds {
			cfg := bydrill.Config{Nodes: c.Nodes, Seed: c.Seed + uint64(i), Fault: fault}
			rep := bydrill.PlayVersions(cfg)
			fmt.Printf("| %s | %d | %d | %d of %d | %d of %d | %d | %d | %v |\n",
				fault, cfg.Seed, rep.Joined, rep.GoneOn, rep.TakeUps, rep.Begun, rep.New, rep.Held, rep.Writes, rep.ShareWait)
		}
	}
}
