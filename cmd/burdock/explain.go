package main

import (
	"fmt"
	"io"
	"os"

	"burdockyard/io/bylog"
)

type explainCommand struct {
	Args struct {
		Request string   `positional-arg-name:"REQUEST" required:"true"`
		Files   []string `positional-arg-name:"FILE" description:"logs of nodes; standard input if none is given"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	logs := []io.Reader{os.Stdin}
	if len(c.Args.Files) > 0 {
		logs = nil
	}
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		logs = append(logs, f)
	}
	found, bad, err := bylog.Explain(os.Stdout, c.Args.Request, logs...)
	if bad > 0 {
		fmt.Fprintf(os.Stderr, "burdock: %d lines could not be read\n", bad)
	}
	if err == nil && found == 0 {
		err = fmt.Errorf("no line is about request %q", c.Args.Request)
	}
	return err
}
