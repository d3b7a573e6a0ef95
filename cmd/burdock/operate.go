package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard"
	"burdockyard/core/bymanifest"
	"burdockyard/io/byconfig"
	"burdockyard/io/bynode"
	"burdockyard/io/bypeer"
	"burdockyard/io/bypeer/bypeerpb"
	"burdockyard/io/byplatform"
)

// operateTimeout bounds one operator's command; handOverWorkers is how many
// nodes are told at a time.
const (
	operateTimeout  = 15 * time.Second
	handOverWorkers = 16
)

type serveCommand struct {
	Settings string `long:"settings" required:"true" description:"the node's settings file"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	s, err := byconfig.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	node, err := bynode.Build(s, os.Stderr)
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	return node.Run(ctx)
}

type checkCommand struct {
	Settings bool `long:"settings" description:"the file holds a node's settings"`
	Args     struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if c.Settings {
		_, err := byconfig.LoadSettings(c.Args.File)
		return c.report(err, "settings")
	}
	spec, err := byconfig.LoadManifest(c.Args.File)
	return c.report(err, fmt.Sprintf("manifest %s, %d engines, %d services", spec.Name, len(spec.Engines), len(spec.Services)))
}

func (c *checkCommand) report(err error, what string) error {
	if err == nil {
		fmt.Printf("%s: ok: %s\n", c.Args.File, what)
	}
	return err
}

// onPlatform is a command that works on the platform's table.
type onPlatform struct {
	Platform string `long:"platform" required:"true" description:"base URL of the platform"`
	JSON     bool   `long:"json" description:"print JSON"`
}

func (o onPlatform) open() (*byplatform.Platform, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), operateTimeout)
	return byplatform.New(o.Platform), ctx, cancel
}

// generationReply is the result of a change of the manifest.
type generationReply struct {
	Generation uint64 `json:"generation"`
}

// finish hands an accepted manifest to the nodes, which else read it from the
// table a moment later, and prints the result.
func (o onPlatform) finish(ctx context.Context, p *byplatform.Platform, a bymanifest.PublishResult, sentence string) error {
	if vms, err := p.VMs(ctx); err == nil && a.Encoded.Pointer != nil {
		handOver(ctx, vms, a.Encoded)
	}
	if o.JSON {
		return json.NewEncoder(os.Stdout).Encode(generationReply{a.Generation})
	}
	fmt.Printf("%s: generation %d is in force\n", sentence, a.Generation)
	return nil
}

func handOver(ctx context.Context, vms []burdockyard.VM, w bymanifest.EncodedManifest) {
	clients := bypeer.NewClients()
	var group errgroup.Group
	group.SetLimit(handOverWorkers)
	for _, vm := range vms {
		group.Go(func() error {
			_ = clients.SendManifest(ctx, vm.Addr, w) // this node reads the table or hears its peers
			return nil
		})
	}
	_ = group.Wait()
}

type publishCommand struct {
	onPlatform
	Expect *uint64 `long:"expect" value-name:"N" description:"publish only after generation N (0: none yet)"`
	Args   struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	spec, err := byconfig.LoadManifest(c.Args.File)
	if err != nil {
		return err
	}
	expect := bymanifest.AnyGeneration
	if c.Expect != nil {
		expect = *c.Expect
	}
	p, ctx, cancel := c.open()
	defer cancel()
	a, err := bymanifest.Publish(ctx, p.Table(), p.Objects(), spec, expect)
	if err != nil {
		return err
	}
	return c.finish(ctx, p, a, "published "+spec.Name)
}

// stateCommand sets the state of one endpoint.
type stateCommand struct {
	onPlatform
	Args struct {
		Endpoint string `positional-arg-name:"ENDPOINT" required:"true"`
	} `positional-args:"true"`
}

func (c *stateCommand) set(state, done string) error {
	p, ctx, cancel := c.open()
	defer cancel()
	a, err := bymanifest.SetEndpointState(ctx, p.Table(), p.Objects(), c.Args.Endpoint, state)
	if err != nil {
		return err
	}
	return c.finish(ctx, p, a, done+" "+c.Args.Endpoint)
}

type drainCommand struct{ stateCommand }

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error { return c.set(bymanifest.StateDrained, "draining") }

type withdrawCommand struct{ stateCommand }

// Execute implements flags.Commander.
func (c *withdrawCommand) Execute([]string) error {
	return c.set(bymanifest.StateWithdrawn, "withdrawing")
}

type restoreCommand struct{ stateCommand }

// Execute implements flags.Commander.
func (c *restoreCommand) Execute([]string) error { return c.set(bymanifest.StateServing, "restored") }

type replaceCommand struct {
	onPlatform
	Args struct {
		Endpoint string `positional-arg-name:"ENDPOINT" required:"true"`
		Address  string `positional-arg-name:"ADDRESS" required:"true" description:"host:port of the new endpoint"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *replaceCommand) Execute([]string) error {
	p, ctx, cancel := c.open()
	defer cancel()
	a, err := bymanifest.SetEndpointAddress(ctx, p.Table(), p.Objects(), c.Args.Endpoint, c.Args.Address)
	if err != nil {
		return err
	}
	return c.finish(ctx, p, a, "replacing "+c.Args.Endpoint)
}

type statusCommand struct {
	Peers []string `long:"peer" required:"true" description:"peer address of a node; may be given several times"`
	JSON  bool     `long:"json" description:"print JSON"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), operateTimeout)
	defer cancel()
	clients := bypeer.NewClients()
	var failed error
	for _, addr := range c.Peers {
		reply, err := clients.Status(ctx, addr)
		if err != nil {
			failed = err
			fmt.Fprintln(os.Stderr, "burdock:", err)
			continue
		}
		if err := c.print(reply); err != nil {
			return err
		}
	}
	return failed
}

func (c *statusCommand) print(s *bypeerpb.StatusReply) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(s)
	}
	fmt.Printf("%s (%s): generation %d, leaving %t, %d open, %d waiting, peers [%s], slow [%s]\n",
		s.GetMember().GetNode(), s.GetDomain(), s.GetGeneration(), s.GetLeaving(), s.GetOpenCalls(), s.GetWaitingCalls(),
		strings.Join(s.GetPeers(), " "), strings.Join(s.GetSlowEngines(), " "))
	for _, sh := range s.GetShards() {
		fmt.Printf("  holds %s, fence %d, settled %t\n", sh.GetShard(), sh.GetFence(), sh.GetSettled())
	}
	return nil
}
