package byconfig

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

var durationType = reflect.TypeFor[time.Duration]()

// decode decodes a node into v, a pointer to a struct whose fields are structs,
// slices, strings, numbers, booleans or durations.
//
// The strict decoder of the YAML library stops at the first problem and gives no
// positions for the later validation. An operator who must run a check once for
// each problem in a generated file gives up on it.
func (d *document) decode(n ast.Node, path string, v any) {
	d.decodeValue(n, path, reflect.ValueOf(v).Elem())
}

func (d *document) decodeValue(n ast.Node, path string, v reflect.Value) {
	n = unwrap(n)
	d.nodes[path] = n
	switch {
	case v.Type() == durationType:
		d.decodeDuration(n, v)
	case v.Kind() == reflect.Struct:
		d.decodeMapping(n, path, v)
	case v.Kind() == reflect.Slice:
		d.decodeSequence(n, path, v)
	default:
		d.decodeScalar(n, v)
	}
}

// unwrap returns the value of an anchor or tag node.
func unwrap(n ast.Node) ast.Node {
	for {
		switch x := n.(type) {
		case *ast.AnchorNode:
			n = x.Value
		case *ast.TagNode:
			n = x.Value
		default:
			return n
		}
	}
}

func (d *document) decodeMapping(n ast.Node, path string, v reflect.Value) {
	m, ok := n.(ast.MapNode)
	if !ok {
		d.addProblem(n, fmt.Sprintf("expected fields, got %s", describeNode(n)), "write name: value lines")
		return
	}
	fields := fieldsOf(v)
	seen := map[string]bool{}
	for it := m.MapRange(); it.Next(); {
		key := it.Key().GetToken().Value
		field, known := fields[key]
		switch {
		case seen[key]:
			d.addProblem(it.Key(), fmt.Sprintf("field %q is duplicated", key), "keep one of them")
		case !known:
			d.addProblem(it.Key(), fmt.Sprintf("unknown field %q", key), "use one of "+fieldNames(fields))
		default:
			d.decodeValue(it.Value(), joinPath(path, key), field)
		}
		seen[key] = true
	}
}

func fieldsOf(v reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		if tag := v.Type().Field(i).Tag.Get("yaml"); tag != "" {
			fields[tag] = v.Field(i)
		}
	}
	return fields
}

func fieldNames(fields map[string]reflect.Value) string {
	var list []string
	for name := range fields {
		list = append(list, name)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func (d *document) decodeSequence(n ast.Node, path string, v reflect.Value) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addProblem(n, fmt.Sprintf("expected a list, got %s", describeNode(n)), "write - item lines")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values)))
	for i, item := range s.Values {
		d.decodeValue(item, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
	}
}

func (d *document) decodeScalar(n ast.Node, v reflect.Value) {
	if !scalarFits(n, v.Kind()) {
		d.addProblem(n, fmt.Sprintf("expected %s, got %s", describeKind(v.Kind()), describeNode(n)), "write "+kindExample(v.Kind()))
		return
	}
	if err := yaml.NodeToValue(n, v.Addr().Interface()); err != nil {
		d.addProblem(n, fmt.Sprintf("expected %s, got %s", describeKind(v.Kind()), n.GetToken().Value), "write "+kindExample(v.Kind()))
	}
}

func scalarFits(n ast.Node, kind reflect.Kind) bool {
	switch kind {
	case reflect.String:
		return n.Type() == ast.StringType || n.Type() == ast.LiteralType
	case reflect.Bool:
		return n.Type() == ast.BoolType
	case reflect.Float64:
		return n.Type() == ast.IntegerType || n.Type() == ast.FloatType
	default:
		return n.Type() == ast.IntegerType
	}
}

func (d *document) decodeDuration(n ast.Node, v reflect.Value) {
	parsed, err := time.ParseDuration(n.GetToken().Value)
	if n.Type() != ast.StringType || err != nil {
		d.addProblem(n, fmt.Sprintf("expected a duration, got %s", describeNode(n)), "write a number with its unit, such as 360ms or 2s")
		return
	}
	v.SetInt(int64(parsed))
}

func describeNode(n ast.Node) string {
	switch n.Type() {
	case ast.MappingType, ast.MappingValueType:
		return "fields"
	case ast.SequenceType:
		return "a list"
	case ast.NullType:
		return "nothing"
	default:
		return fmt.Sprintf("%q", n.GetToken().Value)
	}
}

func describeKind(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func kindExample(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return `it in quotes, such as "2026-11"`
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number, such as 0.5"
	default:
		return "digits, such as 32"
	}
}
