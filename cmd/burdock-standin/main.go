// Command burdock-standin runs emulations of the systems that burdockyard works
// with, for tests and demos: the platform, a model engine or a service. Each is a
// process of its own.
//
// # Usage
//
//	burdock-standin platform --listen 127.0.0.1:7000
//	burdock-standin engine --listen 127.0.0.1:9001 --fencing
//	burdock-standin service --listen 127.0.0.1:9101
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"burdockyard"
	"burdockyard/io/byemu"
	"burdockyard/io/bystandin"
)

type commands struct {
	Platform platformCommand `command:"platform" description:"table, objects, VM list and weights"`
	Engine   engineCommand   `command:"engine" description:"a model engine"`
	Service  serviceCommand  `command:"service" description:"a plain service"`
}

func main() {
	_, err := flags.NewParser(&commands{}, flags.HelpFlag|flags.PassDoubleDash).Parse()
	var flagErr *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Println(flagErr.Message)
	case errors.As(err, &flagErr):
		fmt.Fprintln(os.Stderr, "burdock-standin:", err)
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "burdock-standin:", err)
		os.Exit(1)
	}
}

// listenOptions holds the options that all emulated servers share.
type listenOptions struct {
	Listen string `long:"listen" required:"true" description:"host:port"`
}

// serve serves HTTP with h and runs background until SIGTERM or SIGINT, or until
// either fails.
func (l listenOptions) serve(h http.Handler, background func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ln, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error { return background(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return group.Wait()
}

// waitUntilDone is the background function of a server without background work.
func waitUntilDone(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// platformCommand emulates the platform.
type platformCommand struct {
	listenOptions
	Writes      int           `long:"writes" default:"300" description:"writes per second"`
	Reads       int           `long:"reads" default:"2000" description:"reads per second"`
	ListLag     time.Duration `long:"list-lag" default:"3s" description:"lag of the VM list"`
	WeightBytes int           `long:"weight-bytes" default:"1048576" description:"size of one model"`
	WeightRate  int           `long:"weight-rate" default:"4194304" description:"bytes per second of the weight store"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	return c.serve(bystandin.NewPlatform(bystandin.PlatformConfig{
		WritesPerSecond: c.Writes, ReadsPerSecond: c.Reads, VMListLag: c.ListLag,
		WeightBytesPerModel: c.WeightBytes, WeightBytesPerSecond: c.WeightRate,
	}), waitUntilDone)
}

// engineCommand emulates a model engine.
type engineCommand struct {
	listenOptions
	Fencing     bool          `long:"fencing" description:"refuse old fencing numbers"`
	PrefillRate int           `long:"prefill-rate" default:"20000" description:"prompt tokens per second"`
	DecodeRate  int           `long:"decode-rate" default:"2000" description:"output tokens per second, whole batch"`
	MaxStreams  int           `long:"max-streams" default:"32" description:"streams in the batch"`
	CachePieces int           `long:"cache-pieces" default:"256" description:"prefix cache, in pieces of 4096 tokens"`
	RoleChange  time.Duration `long:"role-change" default:"2s" description:"how long a role change takes"`
	ReportLag   time.Duration `long:"report-lag" default:"2s" description:"lag of load reports"`
	DropEvents  int           `long:"drop-events" default:"10" description:"lose every n-th cache event"`
	WeightStore string        `long:"weight-store" description:"base URL of the weight store"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	e := bystandin.NewEngine(bystandin.EngineConfig{
		Emulation: byemu.Config{
			PrefillRate: c.PrefillRate, DecodeRate: c.DecodeRate, MaxStreams: c.MaxStreams,
			CacheBlocks: c.CachePieces, Role: burdockyard.RoleMixed,
		},
		EnforcesFencing: c.Fencing, RoleChangeDelay: c.RoleChange, ReportLag: c.ReportLag,
		DropEveryNthEvent: c.DropEvents, WeightStoreURL: c.WeightStore,
	})
	return c.serve(e, e.Run)
}

// serviceCommand emulates a service.
type serviceCommand struct {
	listenOptions
	Delay time.Duration `long:"delay" default:"5ms" description:"of each call"`
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	return c.serve(bystandin.NewService(bystandin.ServiceConfig{CallDelay: c.Delay}), waitUntilDone)
}
