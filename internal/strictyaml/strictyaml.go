// Package strictyaml decodes YAML into structs and reports every unknown,
// duplicate, missing and mistyped field of a document in one pass. The decoder of
// the YAML library stops at the first such error, so this package walks the
// library's syntax tree itself.
package strictyaml

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/plankridge/plankridge/internal/finding"
)

// requiredOption is the tag option of a required field, as in
// `yaml:"name,required"`.
const requiredOption = "required"

// Source holds the position of each field of a decoded document. Paths have the
// form "services[0].runners[1].zone".
type Source struct {
	file   string
	places map[string]finding.Place
}

// Place returns the position of the field at path, or of its nearest
// enclosing field.
func (s *Source) Place(path string) finding.Place {
	for {
		if place, ok := s.places[path]; ok {
			return place
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return finding.Place{File: s.file, Line: 1, Column: 1}
		}
		path = path[:cut]
	}
}

// Decode parses data into out, a pointer to a struct. Mistakes are added to
// findings. Valid fields are decoded even if others have mistakes.
func Decode(file string, data []byte, out any, findings *finding.List) *Source {
	d := &decoder{
		source:   &Source{file: file, places: map[string]finding.Place{}},
		findings: findings,
	}
	parsed, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		findings.Addf(syntaxPlace(file, err), "%s", syntaxMessage(err))
		return d.source
	}
	if len(parsed.Docs) > 1 {
		findings.Addf(d.placeAt(parsed.Docs[1].Start.Position.Line, 1), "more than one YAML document in a file")
	}
	if len(parsed.Docs) == 0 || parsed.Docs[0].Body == nil {
		findings.Addf(d.placeAt(1, 1), "file is empty")
		return d.source
	}
	d.decodeValue(parsed.Docs[0].Body, reflect.ValueOf(out).Elem(), "")
	return d.source
}

var syntaxPosition = regexp.MustCompile(`^\[(\d+):(\d+)\] (.*)`)

func syntaxPlace(file string, err error) finding.Place {
	place := finding.Place{File: file, Line: 1, Column: 1}
	match := syntaxPosition.FindStringSubmatch(err.Error())
	if match == nil {
		return place
	}
	place.Line, _ = strconv.Atoi(match[1])
	place.Column, _ = strconv.Atoi(match[2])
	return place
}

func syntaxMessage(err error) string {
	first, _, _ := strings.Cut(err.Error(), "\n")
	if match := syntaxPosition.FindStringSubmatch(first); match != nil {
		first = match[3]
	}
	return "invalid YAML: " + first
}

type decoder struct {
	source   *Source
	findings *finding.List
}

func (d *decoder) placeAt(line, column int) finding.Place {
	return finding.Place{File: d.source.file, Line: line, Column: column}
}

// nodePlace returns the position at which a node begins. A mapping begins at its
// first key, but its own token is the first colon.
func (d *decoder) nodePlace(node ast.Node) finding.Place {
	if pairs, ok := mappingPairs(node); ok && len(pairs) > 0 {
		node = pairs[0].Key
	}
	token := node.GetToken()
	if token == nil || token.Position == nil {
		return d.placeAt(1, 1)
	}
	return d.placeAt(token.Position.Line, token.Position.Column)
}

func (d *decoder) decodeValue(node ast.Node, out reflect.Value, path string) {
	node = unwrap(node)
	if path != "" {
		if _, known := d.source.places[path]; !known {
			d.source.places[path] = d.nodePlace(node)
		}
	}
	if out.Kind() == reflect.Pointer {
		if out.IsNil() {
			out.Set(reflect.New(out.Type().Elem()))
		}
		out = out.Elem()
	}
	if text, ok := out.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(node, text, path)
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		d.decodeStruct(node, out, path)
	case reflect.Slice:
		d.decodeSlice(node, out, path)
	default:
		d.decodeScalar(node, out, path)
	}
}

// unwrap returns the value node of an anchor or tag node.
func unwrap(node ast.Node) ast.Node {
	for {
		switch n := node.(type) {
		case *ast.AnchorNode:
			node = n.Value
		case *ast.TagNode:
			node = n.Value
		default:
			return node
		}
	}
}

func (d *decoder) addMismatch(node ast.Node, path, want string) {
	d.findings.Addf(d.nodePlace(node), "%s: want %s", pathLabel(path), want)
}

func pathLabel(path string) string {
	if path == "" {
		return "document"
	}
	return path
}

// mappingPairs returns the key-value pairs of a mapping node.
func mappingPairs(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func (d *decoder) decodeStruct(node ast.Node, out reflect.Value, path string) {
	pairs, ok := mappingPairs(node)
	if !ok {
		d.addMismatch(node, path, "a mapping")
		return
	}
	fields := structFields(out.Type())
	seen := map[string]bool{}
	for _, pair := range pairs {
		name := pair.Key.GetToken().Value
		place := d.nodePlace(pair.Key)
		index, known := fields.index[name]
		switch {
		case !known:
			d.findings.Addf(place, "%s: unknown field %q%s", pathLabel(path), name, suggestion(name, fields.names))
		case seen[name]:
			d.findings.Addf(place, "%s: field %q is given twice", pathLabel(path), name)
		default:
			child := joinPath(path, name)
			d.source.places[child] = place
			d.decodeValue(pair.Value, out.Field(index), child)
		}
		seen[name] = true
	}
	for _, name := range fields.required {
		if !seen[name] {
			d.findings.Addf(d.nodePlace(node), "%s: missing field %q", pathLabel(path), name)
		}
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

type fieldTable struct {
	index    map[string]int
	names    []string
	required []string
}

func structFields(t reflect.Type) fieldTable {
	table := fieldTable{index: map[string]int{}}
	for i := range t.NumField() {
		name, option, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name == "" || name == "-" {
			continue
		}
		table.index[name] = i
		table.names = append(table.names, name)
		if option == requiredOption {
			table.required = append(table.required, name)
		}
	}
	return table
}

// suggestion returns a hint with the known field that differs from name by one
// edit, or the empty string.
func suggestion(name string, known []string) string {
	for _, candidate := range known {
		if oneEditApart(name, candidate) {
			return fmt.Sprintf(" (did you mean %q?)", candidate)
		}
	}
	return ""
}

func oneEditApart(a, b string) bool {
	if len(a) > len(b) {
		a, b = b, a
	}
	if len(b)-len(a) > 1 {
		return false
	}
	i := 0
	for i < len(a) && a[i] == b[i] {
		i++
	}
	if len(a) == len(b) {
		return i < len(a) && a[i+1:] == b[i+1:]
	}
	return a[i:] == b[i+1:]
}

func (d *decoder) decodeSlice(node ast.Node, out reflect.Value, path string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addMismatch(node, path, "a list")
		return
	}
	slice := reflect.MakeSlice(out.Type(), len(sequence.Values), len(sequence.Values))
	for i, item := range sequence.Values {
		d.decodeValue(item, slice.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	out.Set(slice)
}

func (d *decoder) decodeText(node ast.Node, out encoding.TextUnmarshaler, path string) {
	scalar, ok := node.(ast.ScalarNode)
	if !ok {
		d.addMismatch(node, path, "a single value")
		return
	}
	if err := out.UnmarshalText([]byte(scalar.GetToken().Value)); err != nil {
		d.findings.Addf(d.nodePlace(node), "%s: %v", pathLabel(path), err)
	}
}

func (d *decoder) decodeScalar(node ast.Node, out reflect.Value, path string) {
	scalar, ok := node.(ast.ScalarNode)
	if !ok {
		d.addMismatch(node, path, kindName(out.Kind()))
		return
	}
	if err := setScalar(scalar, out); err != nil {
		d.addMismatch(node, path, kindName(out.Kind()))
	}
}

var errScalarKind = errors.New("value has the wrong type")

func setScalar(node ast.ScalarNode, out reflect.Value) error {
	text := node.GetToken().Value
	switch out.Kind() {
	case reflect.String:
		if _, isNull := node.(*ast.NullNode); isNull {
			return errScalarKind
		}
		out.SetString(text)
		return nil
	case reflect.Bool:
		boolean, ok := node.(*ast.BoolNode)
		if !ok {
			return errScalarKind
		}
		out.SetBool(boolean.Value)
		return nil
	case reflect.Int, reflect.Int64:
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return errScalarKind
		}
		out.SetInt(number)
		return nil
	case reflect.Float64:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return errScalarKind
		}
		out.SetFloat(number)
		return nil
	}
	return errScalarKind
}

func kindName(kind reflect.Kind) string {
	switch kind {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	}
	return "a string"
}
