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

const (
	// commandTimeout limits the run time of one operator command.
	commandTimeout = 15 * time.Second
	// maxConcurrentPushes limits how many nodes are sent a manifest concurrently.
	maxConcurrentPushes = 16
)

// serveCommand runs an entry node from a settings file.
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

// checkCommand validates a manifest or settings file without applying it.
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

// report prints that the file is valid unless err is set, and returns err.
func (c *checkCommand) report(err error, what string) error {
	if err == nil {
		fmt.Printf("%s: ok: %s\n", c.Args.File, what)
	}
	return err
}

// platformOptions holds the options of the commands that change the platform's
// table.
type platformOptions struct {
	Platform string `long:"platform" required:"true" description:"base URL of the platform"`
	JSON     bool   `long:"json" description:"print JSON"`
}

// connect returns a client of the platform and a context with the timeout of a
// command.
func (o platformOptions) connect() (*byplatform.Platform, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	return byplatform.New(o.Platform), ctx, cancel
}

// generationReply is the JSON output of the commands that change the manifest.
type generationReply struct {
	Generation uint64 `json:"generation"`
}

// pushAndReport sends a published manifest to the nodes, so that they need not wait
// until they next read the table, and prints action and the generation.
func (o platformOptions) pushAndReport(ctx context.Context, p *byplatform.Platform, result bymanifest.PublishResult, action string) error {
	if vms, err := p.VMs(ctx); err == nil && result.Encoded.Pointer != nil {
		pushManifest(ctx, vms, result.Encoded)
	}
	if o.JSON {
		return json.NewEncoder(os.Stdout).Encode(generationReply{result.Generation})
	}
	fmt.Printf("%s: generation %d is in force\n", action, result.Generation)
	return nil
}

// pushManifest sends the manifest to every node. Failures are ignored: a node that
// misses it gets it from the table or from its peers.
func pushManifest(ctx context.Context, vms []burdockyard.VM, manifest bymanifest.EncodedManifest) {
	clients := bypeer.NewClients()
	var group errgroup.Group
	group.SetLimit(maxConcurrentPushes)
	for _, vm := range vms {
		group.Go(func() error {
			_ = clients.SendManifest(ctx, vm.Addr, manifest)
			return nil
		})
	}
	_ = group.Wait()
}

// publishCommand publishes a manifest.
type publishCommand struct {
	platformOptions
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
	p, ctx, cancel := c.connect()
	defer cancel()
	result, err := bymanifest.Publish(ctx, p.Table(), p.Objects(), spec, expect)
	if err != nil {
		return err
	}
	return c.pushAndReport(ctx, p, result, "published "+spec.Name)
}

// stateCommand holds what the commands that set the state of one endpoint share.
type stateCommand struct {
	platformOptions
	Args struct {
		Endpoint string `positional-arg-name:"ENDPOINT" required:"true"`
	} `positional-args:"true"`
}

// set sets the state of the endpoint and prints action, which says what
// happens to it.
func (c *stateCommand) set(state, action string) error {
	p, ctx, cancel := c.connect()
	defer cancel()
	result, err := bymanifest.SetEndpointState(ctx, p.Table(), p.Objects(), c.Args.Endpoint, state)
	if err != nil {
		return err
	}
	return c.pushAndReport(ctx, p, result, action+" "+c.Args.Endpoint)
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

// replaceCommand drains an endpoint and then gives its place to another address.
type replaceCommand struct {
	platformOptions
	Args struct {
		Endpoint string `positional-arg-name:"ENDPOINT" required:"true"`
		Address  string `positional-arg-name:"ADDRESS" required:"true" description:"host:port of the new endpoint"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *replaceCommand) Execute([]string) error {
	p, ctx, cancel := c.connect()
	defer cancel()
	result, err := bymanifest.SetEndpointAddress(ctx, p.Table(), p.Objects(), c.Args.Endpoint, c.Args.Address)
	if err != nil {
		return err
	}
	return c.pushAndReport(ctx, p, result, "replacing "+c.Args.Endpoint)
}

// statusCommand prints what each of the given nodes reports about itself.
type statusCommand struct {
	Peers []string `long:"peer" required:"true" description:"peer address of a node; may be given several times"`
	JSON  bool     `long:"json" description:"print JSON"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
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
