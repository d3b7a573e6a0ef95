// Command burdock-demo starts a complete deployment on the loopback interface,
// sends calls to it, kills a node while streams are open, drains an engine, and
// prints the result of each call.
//
// # Usage
//
//	burdock-demo --bin bin --manifest examples/demo.yaml
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"burdockyard/io/byconfig"
	"burdockyard/io/byproc"
)

// demoTimeout limits the run time of the demo, including the start.
const demoTimeout = 60 * time.Second

type options struct {
	Bin      string `long:"bin" default:"bin" description:"folder of the programs"`
	Manifest string `long:"manifest" default:"examples/demo.yaml" description:"manifest to publish"`
}

func main() {
	var opts options
	if _, err := flags.NewParser(&opts, flags.Default).Parse(); err != nil {
		os.Exit(2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	if err := run(ctx, opts); err != nil {
		fmt.Println("demo: failed:", err)
		os.Exit(1)
	}
}

// run starts the deployment, makes the calls and prints the report.
func run(ctx context.Context, opts options) error {
	spec, err := byconfig.LoadManifest(opts.Manifest)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "burdock-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	d, err := byproc.Start(byproc.Config{
		BinDir: opts.Bin, Dir: dir, Spec: spec, Nodes: 3, EngineArgs: []string{"--decode-rate=200"},
		AddressTTL: 2 * time.Second, LeaseTTL: 2 * time.Second,
	})
	if err != nil {
		return err
	}
	defer d.Stop()
	if err := d.Publish(ctx); err != nil {
		return err
	}
	fmt.Printf("demo: %d nodes, %d engines and a booking service are up, manifest published\n", len(d.Nodes), len(spec.Engines))
	results, err := runCalls(ctx, d)
	if err != nil {
		return err
	}
	return report(ctx, d, results)
}

// runCalls makes all calls concurrently, while a node is killed and an engine
// drained, and returns their results.
func runCalls(ctx context.Context, d *byproc.Deployment) ([]callResult, error) {
	calls := demoCalls(d)
	results := make([]callResult, len(calls))
	var group errgroup.Group
	for i, c := range calls {
		group.Go(func() error {
			results[i] = c.run(ctx, d)
			return nil
		})
	}
	group.Go(func() error { return injectFaults(ctx, d) })
	return results, group.Wait()
}

// injectFaults kills a node and drains an engine once the streams are under way.
func injectFaults(ctx context.Context, d *byproc.Deployment) error {
	time.Sleep(700 * time.Millisecond)
	if err := d.Signal("n1", syscall.SIGKILL); err != nil {
		return err
	}
	fmt.Println("demo: killed node n1 in the middle of streams")
	engine := d.Spec.Engines[0].Name
	out, err := d.RunBurdock(ctx, "drain", "--platform", d.PlatformURL, engine)
	if err != nil {
		return errors.Join(err, errors.New(out))
	}
	fmt.Println("demo:", out)
	return nil
}

// report prints the result of each call, and returns an error if a call was lost
// or a booking repeated.
func report(ctx context.Context, d *byproc.Deployment, results []callResult) error {
	lost := 0
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "caller\tcall\tgot\tcut and resumed\ttime")
	for _, r := range results {
		if !r.ok {
			lost++
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", r.caller, r.call, r.outcome, r.resumes, r.took.Round(time.Millisecond))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	repeated, missing, err := checkEffects(ctx, d, results)
	if err != nil {
		return err
	}
	lost += missing
	if lost+repeated > 0 {
		return fmt.Errorf("%d calls, %d lost, %d repeated", len(results), lost, repeated)
	}
	fmt.Printf("demo: ok, %d calls, 0 lost, 0 repeated\n", len(results))
	return nil
}
