// Command burdock runs an entry node and is the command-line tool of operators
// and callers.
//
// # Usage
//
//	burdock serve --settings node.yaml
//	burdock node                       # on the users' platform
//	burdock explain REQUEST all.log
//	burdock check examples/jadepeak.yaml
//	burdock publish --platform http://10.0.0.1:7000 examples/jadepeak.yaml
//	burdock drain --platform http://10.0.0.1:7000 q3
//	burdock call --node 10.0.0.1:8080 --model quote "How steep is a slate roof?"
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"burdockyard/io/byconfig"
)

// version is the release version, which the linker sets in release builds.
var version = "dev"

// Exit codes of the process. The help text lists them.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// errUsage marks a command-line error that go-flags cannot detect.
var errUsage = errors.New("usage")

// commands holds the global options and the subcommands that go-flags parses.
type commands struct {
	Version func() `long:"version" description:"print the version and exit"`

	Serve    serveCommand    `command:"serve" description:"run an entry node"`
	Node     nodeCommand     `command:"node" description:"run an entry node on the users' platform"`
	Explain  explainCommand  `command:"explain" description:"show what logs say of one request"`
	Check    checkCommand    `command:"check" description:"check a manifest, or settings with --settings"`
	Publish  publishCommand  `command:"publish" description:"take a manifest into force"`
	Status   statusCommand   `command:"status" description:"show what nodes say of themselves"`
	Drain    drainCommand    `command:"drain" description:"keep new work from an endpoint and empty it"`
	Replace  replaceCommand  `command:"replace" description:"drain an endpoint, then let another address take its place"`
	Withdraw withdrawCommand `command:"withdraw" description:"take an endpoint out of service for good"`
	Restore  restoreCommand  `command:"restore" description:"undo drain or withdraw"`
	Call     callCommand     `command:"call" description:"make one call as a caller would"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run executes the subcommand that args select and returns the exit code.
func run(args []string) int {
	opts := commands{Version: func() {
		fmt.Println("burdock", version)
		os.Exit(exitDone)
	}}
	parser := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = examples
	_, err := parser.ParseArgs(args)
	return exitCode(err)
}

// exitCode prints the help to standard output or err to standard error, and
// returns the exit code that err stands for.
func exitCode(err error) int {
	var flagErr *flags.Error
	var configErrors byconfig.Problems
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Println(flagErr.Message)
		return exitDone
	case errors.As(err, &flagErr), errors.Is(err, errUsage):
		fmt.Fprintln(os.Stderr, "burdock:", err)
		fmt.Fprintln(os.Stderr, "burdock: run 'burdock --help' for the commands")
		return exitUsage
	case errors.As(err, &configErrors):
		fmt.Fprintln(os.Stderr, configErrors.Error())
		return exitFailed
	default:
		fmt.Fprintln(os.Stderr, "burdock:", err)
		return exitFailed
	}
}

// untilSignal returns a context that is canceled by SIGTERM or SIGINT. A second
// signal has no effect, because the shutdown has already begun.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// examples is the text that --help prints after the usage line.
const examples = `Examples:
  burdock check examples/jadepeak.yaml
  burdock serve --settings node.yaml
  burdock node --log-level debug
  burdock explain 9c41d07be2a35f68 node1.log node2.log
  burdock publish --platform http://127.0.0.1:7000 examples/demo.yaml
  burdock publish --platform http://127.0.0.1:7000 --expect 3 examples/demo.yaml
  burdock status --peer 127.0.0.1:9100
  burdock drain --platform http://127.0.0.1:7000 q1
  burdock call --node 127.0.0.1:8080 --model quote "How steep is a slate roof?"
  burdock call --node 127.0.0.1:8080 --service booking --method POST --path /dispatch --key roof-17 '{"crew":2}'

Exit codes: 0 done, 1 refused or failed, 2 usage.`
