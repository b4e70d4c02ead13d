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

// MaxTextBytes is the maximum length of a bundle in bytes: the platform's limit for
// a value, less space for the signature and the envelope.
const MaxTextBytes = 900_000

// Decode parses and validates a bundle. A returned error is of type Findings.
func Decode(text []byte) (*Bundle, error) {
	d := &decoder{positions: map[string]position{}, failed: map[string]bool{}}
	if len(text) > MaxTextBytes {
		d.add("bundle", fmt.Sprintf("has %d bytes, more than the maximum of %d; split the services into two fleets", len(text), MaxTextBytes))
		return nil, d.findings
	}
	f, err := parser.ParseBytes(text, 0)
	if err != nil {
		d.addSyntaxError(err)
		return nil, d.findings
	}
	b := &Bundle{}
	if len(f.Docs) != 1 || f.Docs[0].Body == nil {
		d.add("bundle", "must be exactly one YAML document")
		return nil, d.findings
	}
	d.decodeValue("", f.Docs[0].Body, reflect.ValueOf(b).Elem())
	d.check(b)
	if len(d.findings) > 0 {
		return nil, d.findings
	}
	return b, nil
}

// position is a line and a column of the text, both counted from one.
type position struct{ line, column int }

// decoder decodes one bundle and collects its errors.
type decoder struct {
	// positions maps the path of each field and list item to its position.
	positions map[string]position
	// failed holds the paths that could not be decoded. Validation errors there
	// would only describe zero values, so they are dropped.
	failed   map[string]bool
	findings Findings
}

// add records a finding at the position of the path or, if that is unknown, of
// its nearest parent with a known position. It records nothing if one of these
// paths could not be decoded.
func (d *decoder) add(path, text string) {
	at := position{line: 1, column: 1}
	for p := path; p != ""; p = parentPath(p) {
		if d.failed[p] {
			return
		}
		if x, ok := d.positions[p]; ok {
			at = x
			break
		}
	}
	d.findings = append(d.findings, Finding{Line: at.line, Column: at.column, Path: path, Text: text})
}

// fail records a finding and suppresses further findings at the path.
func (d *decoder) fail(path, text string) {
	d.add(path, text)
	d.failed[path] = true
}

// parentPath returns the path without its last element, or "".
func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

// addSyntaxError records an error of the YAML parser.
func (d *decoder) addSyntaxError(err error) {
	var e yaml.Error
	f := Finding{Line: 1, Column: 1, Path: "bundle", Text: err.Error()}
	if errors.As(err, &e) {
		f.Text = e.GetMessage()
		if t := e.GetToken(); t != nil && t.Position != nil {
			f.Line, f.Column = t.Position.Line, t.Position.Column
		}
	}
	d.findings = append(d.findings, f)
}

// recordPosition records the position of the path.
func (d *decoder) recordPosition(path string, n ast.Node) {
	if t := n.GetToken(); t != nil && t.Position != nil {
		d.positions[path] = position{t.Position.Line, t.Position.Column}
	}
}

// decodeValue decodes a node into v.
func (d *decoder) decodeValue(path string, n ast.Node, v reflect.Value) {
	if path != "" {
		if _, ok := d.positions[path]; !ok {
			d.recordPosition(path, n)
		}
	}
	switch {
	case v.Kind() == reflect.Struct && !isScalar(v):
		d.decodeStruct(path, n, v)
	case v.Kind() == reflect.Slice:
		d.decodeSlice(path, n, v)
	default:
		d.decodeScalar(path, n, v)
	}
}

// isScalar reports whether v is decoded from text, although it may be a struct.
func isScalar(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(interface{ UnmarshalText([]byte) error })
	return ok
}

// decodeStruct decodes a mapping into a struct.
func (d *decoder) decodeStruct(path string, n ast.Node, v reflect.Value) {
	byTag := map[string]reflect.Value{}
	for i := range v.NumField() {
		tag, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		byTag[tag] = v.Field(i)
	}
	for _, m := range mappingEntries(n) {
		key := m.Key.GetToken().Value
		at := key
		if path != "" {
			at = path + "." + key
		}
		d.recordPosition(at, m.Key)
		f, ok := byTag[key]
		if !ok {
			d.add(at, "is an unknown field")
			continue
		}
		d.decodeValue(at, m.Value, f)
	}
	if _, ok := n.(*ast.MappingNode); !ok && mappingEntries(n) == nil {
		d.fail(path, "must be a mapping")
	}
}

// mappingEntries returns the entries of a mapping. The parser represents a
// mapping of one entry as the entry itself.
func mappingEntries(n ast.Node) []*ast.MappingValueNode {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}
	}
	return nil
}

// decodeSlice decodes a sequence into a slice.
func (d *decoder) decodeSlice(path string, n ast.Node, v reflect.Value) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.fail(path, "must be a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values)))
	for i, x := range s.Values {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), x, v.Index(i))
	}
}

// decodeScalar decodes a single value from its text. The library's own
// conversion of a node formats the whole document for each value and thus takes
// quadratic time in the length of the bundle: 11 s for 870 services.
func (d *decoder) decodeScalar(path string, n ast.Node, v reflect.Value) {
	if _, ok := n.(ast.ScalarNode); !ok || n.GetToken() == nil {
		d.fail(path, "must be a single value")
		return
	}
	if err := setFromText(v, n.GetToken().Value); err != nil {
		d.fail(path, err.Error())
	}
}

// setFromText sets v to the value that the text represents.
func setFromText(v reflect.Value, text string) error {
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
