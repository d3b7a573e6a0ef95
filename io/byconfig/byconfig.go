// Package byconfig reads settings and manifests from YAML and validates them
// strictly. It reports all problems of a file at once, each with its line and
// column, what is wrong, and how to fix it.
//
// # Usage
//
//	spec, err := byconfig.LoadManifest("jadepeak.yaml")
//	settings, err := byconfig.LoadSettings("node.yaml")
//	var problems byconfig.Problems
//	if errors.As(err, &problems) { for _, p := range problems { fmt.Println(p) } }
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

// MaxFileBytes is the largest accepted size of a file, in bytes.
const MaxFileBytes = 16 << 20

// Problem is one problem in a file.
type Problem struct {
	File    string
	Line    int    // counted from 1; 1 also for a problem of the whole file
	Column  int    // counted from 1; 1 also for a problem of the whole file
	Message string // what is wrong
	Fix     string // how to fix it
}

// String returns file:line:column, what is wrong, and how to fix it.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s; %s", p.File, p.Line, p.Column, p.Message, p.Fix)
}

// Problems holds all problems of a file, sorted by line and column.
type Problems []Problem

// Error implements error. It returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// document is a parsed file with the YAML node of each value and the problems
// found so far.
type document struct {
	file     string
	problems Problems
	nodes    map[string]ast.Node // by path, such as engines[2].model
}

func (d *document) addProblem(n ast.Node, message, fix string) {
	pos := positionOf(n)
	d.problems = append(d.problems, Problem{File: d.file, Line: pos.line, Column: pos.column, Message: message, Fix: fix})
}

// addProblemAt adds a problem at the node of a path, or at its nearest ancestor
// that the file contains.
func (d *document) addProblemAt(path, message, fix string) {
	for p := path; p != ""; p = parentPath(p) {
		if n, ok := d.nodes[p]; ok {
			if p != path {
				message = path[len(p):] + " is missing or wrong: " + message
				message = strings.TrimPrefix(message, ".")
			}
			d.addProblem(n, message, fix)
			return
		}
	}
	d.addProblem(nil, path+": "+message, fix)
}

func parentPath(p string) string {
	return p[:max(strings.LastIndexAny(p, ".["), 0)]
}

func (d *document) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return d.problems
}

// load decodes a file into v and returns the document for further checks.
func load(file string, v any) (*document, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if info.Size() > MaxFileBytes {
		return nil, Problems{{File: file, Line: 1, Column: 1,
			Message: fmt.Sprintf("the file has %d bytes", info.Size()),
			Fix:     fmt.Sprintf("reduce it to at most %d", MaxFileBytes)}}
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return parse(file, data, v)
}

// parse decodes data into v. Problems of syntax and type are collected in the
// document rather than returned, so that the caller can add those of validation.
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

// setSyntaxPosition sets the position of the last problem from the parser's error,
// which has the form "[line:column] message".
func (d *document) setSyntaxPosition(err error) {
	p := &d.problems[len(d.problems)-1]
	var line, column int
	if _, scanErr := fmt.Sscanf(err.Error(), "[%d:%d]", &line, &column); scanErr == nil {
		p.Line, p.Column = line, column
	}
}

// LoadManifest reads and validates a manifest file. If the file has problems, the
// error is of type Problems.
func LoadManifest(file string) (bymanifest.Spec, error) {
	var s bymanifest.Spec
	d, err := load(file, &s)
	if err != nil {
		return s, err
	}
	return s, d.checkManifest(s)
}

// ParseManifest parses and validates the text of a manifest. If the text has
// problems, the error is of type Problems; file is only the name that they state.
func ParseManifest(file string, data []byte) (bymanifest.Spec, error) {
	var s bymanifest.Spec
	d, err := parse(file, data, &s)
	if err != nil {
		return s, err
	}
	return s, d.checkManifest(s)
}

// position is the position of a node in its file, counted from 1.
type position struct{ line, column int }

func positionOf(n ast.Node) position {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return position{1, 1}
	}
	pos := n.GetToken().Position
	return position{pos.Line, pos.Column}
}

// checkManifest validates the decoded manifest. It skips values that could not be
// decoded, since a problem has already been added for each.
func (d *document) checkManifest(s bymanifest.Spec) error {
	if len(d.nodes) <= 1 {
		return d.err() // no field could be decoded
	}
	malformed := map[position]bool{}
	for _, problem := range d.problems {
		malformed[position{problem.Line, problem.Column}] = true
	}
	for _, problem := range bymanifest.Check(s) {
		if n, ok := d.nodes[problem.Path]; ok && malformed[positionOf(n)] {
			continue
		}
		d.addProblemAt(problem.Path, problem.Message, problem.Fix)
	}
	return d.err()
}
