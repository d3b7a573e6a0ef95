package main

import (
	"burdockyard/core/byadmit"
	"burdockyard/core/byroute"
	"burdockyard/io/bylab"
)

type ablationCommand struct{ tableCommand }

// Execute implements flags.Commander.
func (c *ablationCommand) Execute([]string) error {
	return c.writeTable("ablation", []bylab.PolicyFactory{
		bylab.Burdock(),
		bylab.BurdockWith(bylab.PolicyOptions{Name: "no prediction", EnginePriority: true, Admit: []byadmit.Option{byadmit.WithoutStartByCheck()}}),
		bylab.BurdockWith(bylab.PolicyOptions{Name: "no fairness", EnginePriority: true, Admit: []byadmit.Option{byadmit.WithoutFairness()}}),
		bylab.BurdockWith(bylab.PolicyOptions{Name: "no detection", EnginePriority: true, Route: []byroute.Option{byroute.WithoutSlowDetection()}}),
		bylab.BurdockWith(bylab.PolicyOptions{Name: "no token distance", EnginePriority: true, Route: []byroute.Option{byroute.WithoutTokenGaps()}}),
		bylab.BurdockWith(bylab.PolicyOptions{Name: "no affinity", EnginePriority: true, Route: []byroute.Option{byroute.WithoutPrefixAffinity()}}),
		bylab.BurdockWith(bylab.PolicyOptions{Name: "no engine priority"}),
	})
}
