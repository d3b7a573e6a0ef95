// Command drive runs the cases of the review. Each case starts the project's own nodes as
// separate processes, with stand-ins of the store, the runners and the clients, and judges
// one rule by what clients, runners and the platform have seen.
//
// # Usage
//
//	drive -case NAME -out FOLDER    # TROUBLE=0 in the environment leaves the disruption out
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken  bool
	summary string
}

// cases holds the cases by name. trouble is false if the disruption is left out.
var cases = map[string]func(d *deployment, trouble bool) (verdict, error){}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	out := flag.String("out", ".", "folder for record.txt")
	program := flag.String("program", "target/burdock", "program of the node")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "drive: unknown case %q\n", *name)
		return 2
	}
	file, err := os.Create(filepath.Join(*out, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "drive:", err)
		return 2
	}
	defer file.Close()
	rec := &recorder{file: file, start: time.Now()}
	d, err := newDeployment(rec, *program)
	if err != nil {
		fmt.Fprintln(os.Stderr, "drive:", err)
		return 2
	}
	defer d.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	d.group.Go(func() error {
		if _, isSignal := <-ended; isSignal {
			d.killNodes()
			os.Exit(2)
		}
		return nil
	})
	defer func() {
		signal.Stop(ended)
		close(ended)
	}()
	v, err := play(d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "drive:", err)
		return 2
	}
	rec.add("%s", v.summary)
	fmt.Println(v.summary)
	if v.broken {
		return 1
	}
	return 0
}

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// add writes a line with the time since the start.
func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
