package main

import (
	"fmt"
	"io"
	"os"

	"burdockyard/io/bylog"
)

// explainCommand prints the log lines about one request, and how and why it ended.
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
	e, err := bylog.Explain(c.Args.Request, logs...)
	if err != nil {
		return err
	}
	for _, line := range e.Lines {
		fmt.Println(line)
	}
	if e.Cause != "" {
		fmt.Println("cause:", e.Cause)
	}
	c.reportUnreadable(e.BadLines)
	if len(e.Lines) == 0 {
		return fmt.Errorf("no log line mentions request %q", c.Args.Request)
	}
	return nil
}

// maxListedLines limits how many unreadable log lines are listed one by one.
const maxListedLines = 10

// reportUnreadable prints to standard error the number of unreadable log lines, and
// the position and error of the first maxListedLines.
func (c *explainCommand) reportUnreadable(bad []bylog.BadLine) {
	if len(bad) == 0 {
		return
	}
	fmt.Fprintf(os.Stderr, "burdock: %d log lines could not be parsed\n", len(bad))
	for _, l := range bad[:min(len(bad), maxListedLines)] {
		name := "standard input"
		if len(c.Args.Files) > 0 {
			name = c.Args.Files[l.LogIndex]
		}
		fmt.Fprintf(os.Stderr, "%s:%d: %v\n", name, l.LineNumber, l.Err)
	}
}
