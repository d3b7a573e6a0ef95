package main

import (
	"burdockyard/core/byadmit"
	"burdockyard/core/byroute"
	"burdockyard/io/bylab"
)

type ablationCommand struct{ tableCommand }

// Execute implements flags.Commander.
func (c *ablationCommand) Execute([]string) error {
	return c.writeTable("ablation", []bylab.PolicyMaker{
		bylab.Burdock(),
		bylab.BurdockWith(bylab.Options{Name: "no prediction", Priority: true, Admit: []byadmit.Option{byadmit.WithoutPrediction()}}),
		bylab.BurdockWith(bylab.Options{Name: "no fairness", Priority: true, Admit: []byadmit.Option{byadmit.WithoutFairness()}}),
		bylab.BurdockWith(bylab.Options{Name: "no detection", Priority: true, Route: []byroute.Option{byroute.WithoutDetection()}}),
		bylab.BurdockWith(bylab.Options{Name: "no token distance", Priority: true, Route: []byroute.Option{byroute.WithoutTokenDistance()}}),
		bylab.BurdockWith(bylab.Options{Name: "no affinity", Priority: true, Route: []byroute.Option{byroute.WithoutAffinity()}}),
		bylab.BurdockWith(bylab.Options{Name: "no engine priority"}),
	})
}
