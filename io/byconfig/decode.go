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

// decode reads a node into v, which points to a struct of the kinds that
// settings use: structs, slices, strings, numbers, booleans and durations.
//
// The library's own strict decoder stops at the first mistake and tells no
// place for the later checks of meaning. An operator who has to run a check
// once for each mistake in a generated file gives up on it.
func (d *document) decode(n ast.Node, path string, v any) {
	d.value(n, path, reflect.ValueOf(v).Elem())
}

func (d *document) value(n ast.Node, path string, v reflect.Value) {
	n = unwrap(n)
	d.places[path] = n
	switch {
	case v.Type() == durationType:
		d.duration(n, v)
	case v.Kind() == reflect.Struct:
		d.mapping(n, path, v)
	case v.Kind() == reflect.Slice:
		d.sequence(n, path, v)
	default:
		d.scalar(n, v)
	}
}

// unwrap returns the value behind an anchor or a tag.
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

func (d *document) mapping(n ast.Node, path string, v reflect.Value) {
	m, ok := n.(ast.MapNode)
	if !ok {
		d.add(n, fmt.Sprintf("expected fields, got %s", kindOf(n)), "write name: value lines")
		return
	}
	fields := fieldsOf(v)
	seen := map[string]bool{}
	for it := m.MapRange(); it.Next(); {
		key := it.Key().GetToken().Value
		field, known := fields[key]
		switch {
		case seen[key]:
			d.add(it.Key(), fmt.Sprintf("field %q stands twice", key), "keep one of them")
		case !known:
			d.add(it.Key(), fmt.Sprintf("unknown field %q", key), "use one of "+names(fields))
		default:
			d.value(it.Value(), join(path, key), field)
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

func names(fields map[string]reflect.Value) string {
	var list []string
	for name := range fields {
		list = append(list, name)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func (d *document) sequence(n ast.Node, path string, v reflect.Value) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.add(n, fmt.Sprintf("expected a list, got %s", kindOf(n)), "write - item lines")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values)))
	for i, item := range s.Values {
		d.value(item, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
	}
}

func (d *document) scalar(n ast.Node, v reflect.Value) {
	if !scalarFits(n, v.Kind()) {
		d.add(n, fmt.Sprintf("expected %s, got %s", wanted(v.Kind()), kindOf(n)), "write "+example(v.Kind()))
		return
	}
	if err := yaml.NodeToValue(n, v.Addr().Interface()); err != nil {
		d.add(n, fmt.Sprintf("expected %s, got %s", wanted(v.Kind()), n.GetToken().Value), "write "+example(v.Kind()))
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

func (d *document) duration(n ast.Node, v reflect.Value) {
	parsed, err := time.ParseDuration(n.GetToken().Value)
	if n.Type() != ast.StringType || err != nil {
		d.add(n, fmt.Sprintf("expected a duration, got %s", kindOf(n)), "write a number with its unit, such as 360ms or 2s")
		return
	}
	v.SetInt(int64(parsed))
}

func kindOf(n ast.Node) string {
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

func wanted(kind reflect.Kind) string {
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

func example(kind reflect.Kind) string {
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
