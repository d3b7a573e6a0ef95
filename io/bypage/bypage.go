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
	startMarker, endMarker := "<!-- "+name+" -->\n", "<!-- /"+name+" -->\n"
	before, rest, hasStart := strings.Cut(string(page), startMarker)
	_, after, hasEnd := strings.Cut(rest, endMarker)
	if !hasStart || !hasEnd {
		return fmt.Errorf("%s has no place named %s", file, name)
	}
	return os.WriteFile(file, []byte(before+startMarker+"\n"+text+"\n"+endMarker+after), 0o644)
}
