// Command names prints the names and texts of a checkout that leave the process, one a line under a heading for
// each kind. A change of wording must leave them as they are.
//
//	cd tools && go run ./names CHECKOUT > names.txt
//
// It reads the Go code with its types, the protobuf file, the deployment files and the examples. Texts with
// spaces are listed only if a test, a script, a page for operators or another folder holds them too, if they
// are sentinels, or if a caller gets them.
package main

import (
	"fmt"
	"go/ast"
	"go/token"
	"go/types"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"golang.org/x/tools/go/packages"
)

var (
	generated = regexp.MustCompile(`(\.pb|\.twirp|wire_gen)\.go$`)
	codec     = regexp.MustCompile(`(?i)(json|yaml|marshal|encode|decode|read|write|post|send|put|render|reply)`)
	logCall   = regexp.MustCompile(`^(Info|Warn|Error|Debug|log|warn|info|error)$`)
	keyCall   = regexp.MustCompile(`^(Str|Int|Int64|Uint64|Float|Dur|Bool|Err|Ms|Any|Strs|Float64)$`)
	protoName = regexp.MustCompile(`(?m)^\s*(?:(?:message|service|enum|rpc|oneof)\s+(\w+)|(?:repeated |optional )?[\w.<>, ]+\s+(\w+)\s*=\s*\d+)`)
	pageKey   = regexp.MustCompile(`(?m)^\s*-?\s*([A-Za-z_][\w.-]*)\s*[:=]`)
	tomlTable = regexp.MustCompile(`(?m)^\[+([\w.-]+)\]+`)
	metric    = regexp.MustCompile(`\bburdock[a-z]*_[a-z_]+`)
	label     = regexp.MustCompile(`(\w+)=(?:%q|"%s"|")`)
)

// names collects each kind's names with the folders that hold them.
type names map[string]map[string]map[string]bool

func (n names) add(kind, name, folder string) {
	if name = strings.TrimSpace(name); name == "" {
		return
	}
	if n[kind] == nil {
		n[kind] = map[string]map[string]bool{}
	}
	if n[kind][name] == nil {
		n[kind][name] = map[string]bool{}
	}
	n[kind][name][folder] = true
}

func (n names) print() {
	var kinds []string
	for kind := range n {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	for _, kind := range kinds {
		fmt.Printf("\n## %s\n\n", kind)
		var lines []string
		for name, folders := range n[kind] {
			var in []string
			for f := range folders {
				in = append(in, f)
			}
			sort.Strings(in)
			if len(in) > 3 {
				in = append(in[:3], "…")
			}
			lines = append(lines, fmt.Sprintf("%s\t%s", strings.ReplaceAll(name, "\n", `\n`), strings.Join(in, " ")))
		}
		sort.Strings(lines)
		for _, line := range lines {
			fmt.Println(line)
		}
	}
}

// text is a string literal with spaces.
type text struct{ value, folder string }

type collector struct {
	names  names
	texts  []text // of the code
	others []text // of tests, pages, scripts and examples
	seen   map[types.Type]bool
}

// fields adds the names of a struct that is written out without tags.
func (c *collector) fields(t types.Type, folder string) {
	if c.seen[t] {
		return
	}
	c.seen[t] = true
	switch x := t.(type) {
	case *types.Pointer:
		c.fields(x.Elem(), folder)
	case *types.Slice:
		c.fields(x.Elem(), folder)
	case *types.Array:
		c.fields(x.Elem(), folder)
	case *types.Map:
		c.fields(x.Elem(), folder)
	case *types.Named:
		if p := x.Obj().Pkg(); p == nil || !strings.HasPrefix(p.Path(), "burdockyard") || strings.HasSuffix(p.Path(), "pb") {
			return
		}
		c.fields(x.Underlying(), folder+"\t"+x.Obj().Name())
	case *types.Struct:
		folder, owner, _ := strings.Cut(folder, "\t")
		for i := range x.NumFields() {
			f := x.Field(i)
			if x.Tag(i) == "" && f.Exported() && !f.Embedded() {
				c.names.add("fields that are written out under their own name (encoders, and logs with +v)", owner+"."+f.Name(), folder)
			}
			c.fields(f.Type(), folder)
		}
	}
}

func (c *collector) call(info *types.Info, call *ast.CallExpr, folder string) {
	var callee *ast.Ident
	fun := ast.Unparen(call.Fun)
	if ix, ok := fun.(*ast.IndexExpr); ok {
		fun = ix.X
	}
	switch f := fun.(type) {
	case *ast.SelectorExpr:
		callee = f.Sel
	case *ast.Ident:
		callee = f
	default:
		return
	}
	literal := func(i int) (string, bool) {
		if i >= len(call.Args) {
			return "", false
		}
		tv, ok := info.Types[call.Args[i]]
		if !ok || tv.Value == nil || tv.Type == nil {
			return "", false
		}
		s, err := strconv.Unquote(tv.Value.ExactString())
		return s, err == nil
	}
	switch {
	case codec.MatchString(callee.Name):
		sig, ok := info.TypeOf(call.Fun).(*types.Signature)
		for i, arg := range call.Args {
			if t := info.TypeOf(arg); ok && t != nil && i < sig.Params().Len() && types.IsInterface(sig.Params().At(i).Type()) {
				c.fields(t, folder)
			}
		}
		if inst, ok := info.Instances[callee]; ok {
			for i := range inst.TypeArgs.Len() {
				c.fields(inst.TypeArgs.At(i), folder)
			}
		}
	case strings.HasSuffix(callee.Name, "printf") || strings.HasSuffix(callee.Name, "Errorf"):
		if s, ok := literal(0); ok && strings.Contains(s, "%+v") {
			for _, arg := range call.Args[1:] {
				c.fields(info.TypeOf(arg), folder)
			}
		}
	}
	switch {
	case callee.Name == "Sentinel" || callee.Name == "New" && strings.HasSuffix(types.ExprString(call.Fun), "errors.New"):
		if s, ok := literal(0); ok {
			c.names.add("texts of sentinels", s, folder)
		}
	case callee.Name == "NewCallError":
		if s, ok := literal(1); ok {
			c.names.add("causes and error texts that callers get", s, folder)
		}
	case callee.Name == "Error" && strings.HasSuffix(types.ExprString(call.Fun), "http.Error"):
		if s, ok := literal(1); ok {
			c.names.add("causes and error texts that callers get", s, folder)
		}
	case callee.Name == "Getenv" || callee.Name == "LookupEnv":
		if s, ok := literal(0); ok {
			c.names.add("environment variables", s, folder)
		}
	case keyCall.MatchString(callee.Name):
		if s, ok := literal(0); ok {
			c.names.add("log keys", s, folder)
		}
	}
}

func (c *collector) file(info *types.Info, file *ast.File, folder string) {
	ast.Inspect(file, func(n ast.Node) bool {
		switch x := n.(type) {
		case *ast.CallExpr:
			c.call(info, x, folder)
		case *ast.FuncDecl:
			if x.Recv != nil && (x.Name.Name == "String" || x.Name.Name == "MarshalText") {
				ast.Inspect(x, func(n ast.Node) bool {
					if lit, ok := n.(*ast.BasicLit); ok && lit.Kind == token.STRING {
						if s, err := strconv.Unquote(lit.Value); err == nil {
							c.names.add("words that String writes out", s, folder)
						}
					}
					return true
				})
			}
		case *ast.Field:
			if x.Tag != nil {
				raw, err := strconv.Unquote(x.Tag.Value)
				if err != nil {
					break
				}
				tag := reflect.StructTag(raw)
				for _, key := range []string{"json", "yaml", "toml"} {
					name, _, _ := strings.Cut(tag.Get(key), ",")
					c.names.add("fields of messages, settings, manifests and stored values, by tag", name, folder)
				}
				for _, key := range []string{"long", "short", "command", "positional-arg-name", "env", "choice", "default"} {
					c.names.add("flags and commands", tag.Get(key), folder)
				}
			}
		case *ast.BasicLit:
			if x.Kind != token.STRING {
				break
			}
			s, err := strconv.Unquote(x.Value)
			if err != nil {
				break
			}
			for _, m := range metric.FindAllString(s, -1) {
				c.names.add("metrics", m, folder)
				for _, l := range label.FindAllStringSubmatch(s, -1) {
					c.names.add("metric labels", l[1], folder)
				}
			}
			if strings.ContainsAny(s, " \n") {
				c.texts = append(c.texts, text{s, folder})
			} else if len(s) > 1 && !strings.Contains(s, "%") {
				c.names.add("one-word strings: keys, headers, paths, rows, reasons, values (all of them, as they may leave the process)", s, folder)
			}
		case *ast.ImportSpec:
			return false
		}
		return true
	})
}

// rest reads what is not compiled: the protobuf file, deployment files, examples, scripts and operators' pages.
func (c *collector) rest(root string) error {
	return filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			if d.Name() == ".git" || rel == "journal" || rel == "tools" {
				return fs.SkipDir
			}
			return nil
		}
		folder := filepath.ToSlash(filepath.Dir(rel))
		read := func() string {
			data, readErr := os.ReadFile(path)
			if readErr != nil {
				err = readErr
			}
			return string(data)
		}
		switch ext := filepath.Ext(path); {
		case ext == ".proto":
			for _, m := range protoName.FindAllStringSubmatch(read(), -1) {
				c.names.add("protobuf and twirp", m[1]+m[2], folder)
			}
		case ext == ".yaml" || ext == ".toml":
			data := read()
			for _, m := range append(pageKey.FindAllStringSubmatch(data, -1), tomlTable.FindAllStringSubmatch(data, -1)...) {
				c.names.add("keys in examples and deploy", m[1], folder)
			}
		case ext == ".txtar" || ext == ".md" && strings.HasPrefix(rel, "docs/OPERATIONS") || rel == "Makefile" || rel == ".ci/run":
			c.others = append(c.others, text{read(), rel})
		case strings.HasSuffix(path, "_test.go"):
			c.others = append(c.others, text{read(), folder + " tests"})
		}
		return err
	})
}

// quoted matches the string literals of a test file and the code spans of a page.
var quoted = regexp.MustCompile("\"(?:[^\"\\\\\n]|\\\\.)*\"|`[^`\n]*`")

// matched adds the code's texts that something outside their folder's code holds too.
func (c *collector) matched() {
	const kind = "texts that a test, a script, an operators' page or another folder holds too"
	for _, t := range c.texts {
		for _, o := range c.others {
			if len(strings.Fields(t.value)) < 2 {
				break
			}
			if strings.Contains(o.value, t.value) {
				c.names.add(kind, t.value, t.folder+" <- "+o.folder)
				continue
			}
			for _, q := range quoted.FindAllString(o.value, -1) {
				q = strings.Trim(q, "\"`")
				if len(strings.Fields(q)) >= 2 && len(q) > 7 && strings.Contains(t.value, q) {
					c.names.add(kind, t.value, t.folder+" <- "+o.folder)
				}
			}
		}
	}
	held := map[string]map[string]bool{}
	for _, t := range c.texts {
		if held[t.value] == nil {
			held[t.value] = map[string]bool{}
		}
		held[t.value][t.folder] = true
	}
	for value, folders := range held {
		if len(folders) > 1 && len(value) > 7 && len(strings.Fields(value)) > 1 {
			for f := range folders {
				c.names.add(kind, value, f)
			}
		}
	}
}

func run(root string) error {
	root, err := filepath.Abs(root)
	if err != nil {
		return err
	}
	pkgs, err := packages.Load(&packages.Config{
		Mode: packages.NeedName | packages.NeedFiles | packages.NeedSyntax | packages.NeedTypes | packages.NeedTypesInfo | packages.NeedImports | packages.NeedDeps,
		Dir:  root,
	}, "./...")
	if err != nil {
		return err
	}
	c := &collector{names: names{}, seen: map[types.Type]bool{}}
	for _, p := range pkgs {
		for _, e := range p.Errors {
			return e
		}
		for _, file := range p.Syntax {
			path := p.Fset.Position(file.Pos()).Filename
			if generated.MatchString(path) {
				continue
			}
			rel, err := filepath.Rel(root, filepath.Dir(path))
			if err != nil {
				return err
			}
			c.names.add("file names", filepath.ToSlash(rel), "packages and folders")
			c.file(p.TypesInfo, file, filepath.ToSlash(rel))
		}
	}
	if err := c.rest(root); err != nil {
		return err
	}
	c.matched()
	c.names.print()
	return nil
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: names CHECKOUT")
		os.Exit(2)
	}
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
