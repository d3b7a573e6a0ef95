// Package byconfig reads settings and manifests from YAML, strictly: every
// mistake of a file is reported at once with its line and column, what is
// wrong, and the mend.
//
// # Usage
//
//	spec, err := byconfig.LoadManifest("jadepeak.yaml")
//	settings, err := byconfig.LoadSettings("node.yaml")
//	var list byconfig.Mistakes
//	if errors.As(err, &list) { for _, m := range list { fmt.Println(m) } }
package byconfig

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"burdockyard/core/bymanifest"
)

// MaxFile bounds a file, in bytes.
const MaxFile = 16 << 20

// Mistake is one mistake in a file.
type Mistake struct {
	File   string
	Line   int // from 1; 0 for the file as a whole
	Column int
	What   string
	Mend   string
}

// String returns file:line:column, what is wrong, and the mend.
func (m Mistake) String() string {
	return fmt.Sprintf("%s:%d:%d: %s; %s", m.File, m.Line, m.Column, m.What, m.Mend)
}

// Mistakes is every mistake of a file, in its order.
type Mistakes []Mistake

// Error implements error.
func (m Mistakes) Error() string {
	lines := make([]string, len(m))
	for i, x := range m {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// document is a parsed file, and where each of its values stands.
type document struct {
	file     string
	problems Mistakes
	nodes    map[string]ast.Node // path to node, such as engines[2].model
}

func (d *document) addProblem(n ast.Node, what, mend string) {
	at := positionOf(n)
	d.problems = append(d.problems, Mistake{File: d.file, Line: at.line, Column: at.column, What: what, Mend: mend})
}

// addProblemAt adds a mistake at a path, or at the nearest place above it that the
// file has.
func (d *document) addProblemAt(path, what, mend string) {
	for p := path; p != ""; p = parentPath(p) {
		if n, ok := d.nodes[p]; ok {
			if p != path {
				what = path[len(p):] + " is missing or wrong: " + what
				what = strings.TrimPrefix(what, ".")
			}
			d.addProblem(n, what, mend)
			return
		}
	}
	d.addProblem(nil, path+": "+what, mend)
}

func parentPath(p string) string {
	return p[:max(strings.LastIndexAny(p, ".["), 0)]
}

func (d *document) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Mistake) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return d.problems
}

// load reads a file into v, and returns the document for further checks.
func load(file string, v any) (*document, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if info.Size() > MaxFile {
		return nil, Mistakes{{File: file, Line: 1, Column: 1,
			What: fmt.Sprintf("the file has %d bytes", info.Size()),
			Mend: fmt.Sprintf("keep it under %d", MaxFile)}}
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return parse(file, data, v)
}

// parse reads text into v. Mistakes stay in the document, so that the caller
// can add those of meaning to those of form.
func parse(file string, data []byte, v any) (*document, error) {
	d := &document{file: file, nodes: map[string]ast.Node{}}
	if strings.TrimSpace(string(data)) == "" {
		d.addProblem(nil, "the file is empty", "write a document into it")
		return d, nil
	}
	f, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addProblem(nil, "not YAML: "+firstLine(err), "correct the syntax")
		d.setSyntaxPosition(err)
		return d, nil
	}
	if len(f.Docs) != 1 || f.Docs[0].Body == nil {
		d.addProblem(nil, fmt.Sprintf("the file has %d documents", len(f.Docs)), "write exactly one")
		return d, nil
	}
	d.decode(f.Docs[0].Body, "", v)
	return d, nil
}

func firstLine(err error) string {
	text, _, _ := strings.Cut(err.Error(), "\n")
	return text
}

// setSyntaxPosition takes the place out of the parser's "[line:column] message".
func (d *document) setSyntaxPosition(err error) {
	m := &d.problems[len(d.problems)-1]
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "[%d:%d]", &line, &column); scanErr == nil {
		m.Line, m.Column = line, column
	}
}

// LoadManifest reads and checks a manifest file. Its mistakes are Mistakes.
func LoadManifest(file string) (bymanifest.Spec, error) {
	var s bymanifest.Spec
	d, err := load(file, &s)
	if err != nil {
		return s, err
	}
	return s, d.checkManifest(s)
}

// ParseManifest checks a manifest's text.
func ParseManifest(file string, data []byte) (bymanifest.Spec, error) {
	var s bymanifest.Spec
	d, err := parse(file, data, &s)
	if err != nil {
		return s, err
	}
	return s, d.checkManifest(s)
}

// position is where a node of a document stands.
type position struct{ line, column int }

func positionOf(n ast.Node) position {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return position{1, 1}
	}
	at := n.GetToken().Position
	return position{at.Line, at.Column}
}

// checkManifest adds the mistakes of meaning, but not where a mistake of form
// has left a value unread.
func (d *document) checkManifest(s bymanifest.Spec) error {
	if len(d.nodes) <= 1 {
		return d.err() // nothing below the document itself could be read
	}
	malformed := map[position]bool{}
	for _, m := range d.problems {
		malformed[position{m.Line, m.Column}] = true
	}
	for _, p := range bymanifest.Check(s) {
		if n, ok := d.nodes[p.Path]; ok && malformed[positionOf(n)] {
			continue
		}
		d.addProblemAt(p.Path, p.What, p.Mend)
	}
	return d.err()
}
