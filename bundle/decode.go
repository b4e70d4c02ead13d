// This file decodes the YAML of a bundle. The library's strict decoder stops at
// the first error, but operators need all errors at once. The decoder therefore
// walks the parsed tree together with the Go types: it matches mappings with
// structs by their yaml tags and sequences with slices, and converts scalars
// from their text. This takes one pass over the tree. Anchors and merge keys,
// which bundles don't use, are not supported.

package bundle

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxText is the maximum length of a bundle in bytes: the platform's limit for
// a value, less space for the signature and the envelope.
const MaxText = 900_000

// Decode parses and validates a bundle. A returned error is of type Findings.
func Decode(text []byte) (*Bundle, error) {
	d := &decoder{places: map[string]place{}, failed: map[string]bool{}}
	if len(text) > MaxText {
		d.add("bundle", fmt.Sprintf("has %d bytes, more than the maximum of %d; split the services into two fleets", len(text), MaxText))
		return nil, d.found
	}
	f, err := parser.ParseBytes(text, 0)
	if err != nil {
		d.syntax(err)
		return nil, d.found
	}
	b := &Bundle{}
	if len(f.Docs) != 1 || f.Docs[0].Body == nil {
		d.add("bundle", "must be exactly one YAML document")
		return nil, d.found
	}
	d.value("", f.Docs[0].Body, reflect.ValueOf(b).Elem())
	d.check(b)
	if len(d.found) > 0 {
		return nil, d.found
	}
	return b, nil
}

// place is a position in the text.
type place struct{ line, column int }

// decoder decodes one bundle and collects its errors.
type decoder struct {
	// places maps the path of each field and list item to its position.
	places map[string]place
	// failed holds the paths that could not be decoded. Validation errors there
	// would only describe zero values, so they are dropped.
	failed map[string]bool
	found  Findings
}

// add records a finding at the position of the path or, if that is unknown, of
// its nearest parent with a known position. It records nothing if one of these
// paths could not be decoded.
func (d *decoder) add(path, text string) {
	at := place{line: 1, column: 1}
	for p := path; p != ""; p = parent(p) {
		if d.failed[p] {
			return
		}
		if x, ok := d.places[p]; ok {
			at = x
			break
		}
	}
	d.found = append(d.found, Finding{Line: at.line, Column: at.column, Path: path, Text: text})
}

// fail records a finding and suppresses further findings at the path.
func (d *decoder) fail(path, text string) {
	d.add(path, text)
	d.failed[path] = true
}

// parent returns the path without its last element, or "".
func parent(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

// syntax records an error of the YAML parser.
func (d *decoder) syntax(err error) {
	var e yaml.Error
	f := Finding{Line: 1, Column: 1, Path: "bundle", Text: err.Error()}
	if errors.As(err, &e) {
		f.Text = e.GetMessage()
		if t := e.GetToken(); t != nil && t.Position != nil {
			f.Line, f.Column = t.Position.Line, t.Position.Column
		}
	}
	d.found = append(d.found, f)
}

// note records the position of the path.
func (d *decoder) note(path string, n ast.Node) {
	if t := n.GetToken(); t != nil && t.Position != nil {
		d.places[path] = place{t.Position.Line, t.Position.Column}
	}
}

// value decodes a node into v.
func (d *decoder) value(path string, n ast.Node, v reflect.Value) {
	if path != "" {
		if _, ok := d.places[path]; !ok {
			d.note(path, n)
		}
	}
	switch {
	case v.Kind() == reflect.Struct && !isScalar(v):
		d.fields(path, n, v)
	case v.Kind() == reflect.Slice:
		d.items(path, n, v)
	default:
		d.scalar(path, n, v)
	}
}

// isScalar reports whether v is decoded from text, although it may be a struct.
func isScalar(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(interface{ UnmarshalText([]byte) error })
	return ok
}

// fields decodes a mapping into a struct.
func (d *decoder) fields(path string, n ast.Node, v reflect.Value) {
	byTag := map[string]reflect.Value{}
	for i := range v.NumField() {
		tag, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		byTag[tag] = v.Field(i)
	}
	for _, m := range pairs(n) {
		key := m.Key.GetToken().Value
		at := key
		if path != "" {
			at = path + "." + key
		}
		d.note(at, m.Key)
		f, ok := byTag[key]
		if !ok {
			d.add(at, "is an unknown field")
			continue
		}
		d.value(at, m.Value, f)
	}
	if _, ok := n.(*ast.MappingNode); !ok && pairs(n) == nil {
		d.fail(path, "must be a mapping")
	}
}

// pairs returns the entries of a mapping. The parser represents a mapping of one
// entry as the entry itself.
func pairs(n ast.Node) []*ast.MappingValueNode {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}
	}
	return nil
}

// items decodes a sequence into a slice.
func (d *decoder) items(path string, n ast.Node, v reflect.Value) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.fail(path, "must be a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values)))
	for i, x := range s.Values {
		d.value(fmt.Sprintf("%s[%d]", path, i), x, v.Index(i))
	}
}

// scalar decodes a single value from its text. The library's own conversion of
// a node formats the whole document for each value and thus takes quadratic time
// in the length of the bundle: 11 s for 870 services.
func (d *decoder) scalar(path string, n ast.Node, v reflect.Value) {
	if _, ok := n.(ast.ScalarNode); !ok || n.GetToken() == nil {
		d.fail(path, "must be a single value")
		return
	}
	if err := setText(v, n.GetToken().Value); err != nil {
		d.fail(path, err.Error())
	}
}

// setText sets v to the value that the text represents.
func setText(v reflect.Value, text string) error {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return u.UnmarshalText([]byte(text))
	}
	if v.Type() == reflect.TypeFor[time.Duration]() {
		x, err := time.ParseDuration(text)
		v.SetInt(int64(x))
		return err
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		x, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%q is neither true nor false", text)
		}
		v.SetBool(x)
	case reflect.Int:
		x, err := strconv.ParseInt(text, 10, v.Type().Bits())
		if err != nil {
			return fmt.Errorf("%q is not a whole number in range", text)
		}
		v.SetInt(x)
	case reflect.Uint8, reflect.Uint16:
		x, err := strconv.ParseUint(text, 10, v.Type().Bits())
		if err != nil {
			return fmt.Errorf("%q is not a whole number from 0 to %d", text, uint64(1)<<v.Type().Bits()-1)
		}
		v.SetUint(x)
	default:
		return fmt.Errorf("values of type %v are not supported", v.Type())
	}
	return nil
}
