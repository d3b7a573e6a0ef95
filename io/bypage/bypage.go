// Package bypage puts the output of a measurement on a page of the docs,
// between two markers.
//
// # Usage
//
//	err := bypage.Replace("docs/FAULTS.md", "matrix", table)
package bypage

import (
	"fmt"
	"os"
	"strings"
)

// Replace replaces what stands between <!-- name --> and <!-- /name --> in a file.
func Replace(file, name, text string) error {
	page, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	begin, end := "<!-- "+name+" -->\n", "<!-- /"+name+" -->\n"
	before, rest, found := strings.Cut(string(page), begin)
	_, after, closed := strings.Cut(rest, end)
	if !found || !closed {
		return fmt.Errorf("%s has no place named %s", file, name)
	}
	return os.WriteFile(file, []byte(before+begin+"\n"+text+"\n"+end+after), 0o644)
}
