// Command burdock-lab prints the tables of docs/EXPERIMENTS.md and docs/CAPACITY.md.
// The policy and ablation tables are simulated in virtual time with fixed seeds and
// are the same at each run.
//
// # Usage
//
//	burdock-lab policy
//	burdock-lab ablation
//	burdock-lab capacity
//	burdock-lab journal
//	burdock-lab changes
//	burdock-lab drill --nodes 295 --seeds 10
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

type commands struct {
	Policy   policyCommand   `command:"policy" description:"the four measures beside baselines, bounds and targets"`
	Capacity capacityCommand `command:"capacity" description:"the slopes behind docs/CAPACITY.md"`
	Ablation ablationCommand `command:"ablation" description:"the measures with each mechanism off in turn"`
	Drill    drillCommand    `command:"drill" description:"inputs that end endpoints, and limits that endpoints name, in a modelled fleet"`
	Journal  journalCommand  `command:"journal" description:"the scores of the users' bench, from its journal"`
	Changes  changesCommand  `command:"changes" description:"what a change of the configuration costs between nodes"`
}

func main() {
	_, err := flags.NewParser(&commands{}, flags.HelpFlag).Parse()
	var flagErr *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Println(flagErr.Message)
	default:
		fmt.Fprintln(os.Stderr, "burdock-lab:", err)
		os.Exit(2)
	}
}
