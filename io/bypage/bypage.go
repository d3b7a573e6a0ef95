// Package bypage inserts the output of a measurement into a page of the docs,
// between two marker comments.
//
// # Usage
//
//	err := bypage.ReplaceSection("docs/FAULTS.md", "matrix", table)
package bypage

import (
	"fmt"
	"os"
	"strings"
)

// ReplaceSection replaces the text between the lines <!-- name --> and
// <!-- /name --> of a file.
func ReplaceSection(file, name, text string) error {
	page, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	startMarker, endMarker := "<!-- "+name+" -->\n", "<!-- /"+name+" -->\n"
	before, rest, hasStart := strings.Cut(string(page), startMarker)
	_, after, hasEnd := strings.Cut(rest, endMarker)
	if !hasStart || !hasEnd {
		return fmt.Errorf("%s has no pair of markers named %s", file, name)
	}
	return os.WriteFile(file, []byte(before+startMarker+"\n"+text+"\n"+endMarker+after), 0o644)
}
