package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// Bounds on the YAML syntax, which valid documents don't reach. Beyond them the
// time of the YAML library grows with the square of a line's length, of the
// nesting depth, and of the number of empty values, as it moves all later tokens
// for each of them.
const (
	MaxLine   = 4096    // bytes per line
	MaxLines  = 1 << 15 // per document; 32 bytes per line on average in one of MaxBody
	maxDepth  = 16      // nesting depth of brackets
	maxColumn = 64      // column of a key or of an item's dash outside brackets
	maxKeys   = 4096    // keys per mapping outside brackets
	maxEmpty  = 256     // empty values outside brackets
	maxFaults = 100     // reported faults per document
)

// refusedTokens are the YAML tokens that are not allowed in documents: with each
// of them the meaning of a document may differ from its appearance.
var refusedTokens = map[token.Type]string{
	token.AnchorType:      "an anchor",
	token.AliasType:       "an alias",
	token.TagType:         "a tag",
	token.MergeKeyType:    "a merge key",
	token.DirectiveType:   "a directive",
	token.MappingKeyType:  "a '?' key",
	token.DocumentEndType: "an end-of-document mark",
	token.InvalidType:     "an invalid character",
}

// tokenScanner rejects tokens and nesting that must not reach the parser.
type tokenScanner struct {
	depth       int                // current nesting depth of brackets
	emptyValues int                // number of empty values so far
	keys        [maxColumn + 1]int // number of keys so far in the open mapping at each column
}

// checkTokens returns the first syntax fault, or nil.
func checkTokens(tokens token.Tokens) []Fault {
	var s tokenScanner
	for i, t := range tokens {
		if reason := s.check(i, t); reason != "" {
			return []Fault{{Line: t.Position.Line, Reason: reason}}
		}
	}
	return nil
}

func (s *tokenScanner) check(i int, t *token.Token) string {
	if name, ok := refusedTokens[t.Type]; ok {
		return name + " is not allowed"
	}
	if s.depth == 0 && isEmptyValue(t) {
		if s.emptyValues++; s.emptyValues > maxEmpty {
			return fmt.Sprintf("has over %d values left empty", maxEmpty)
		}
	}
	switch t.Type {
	case token.SequenceStartType, token.MappingStartType:
		s.depth++
	case token.SequenceEndType, token.MappingEndType:
		s.depth--
	case token.SequenceEntryType:
		return s.enterColumn(t.Position.Column, false)
	case token.MappingValueType:
		if s.depth == 0 && t.Prev != nil {
			return s.enterColumn(t.Prev.Position.Column, true)
		}
	case token.DocumentHeaderType:
		if i > 0 {
			return "a second document is not allowed"
		}
	}
	if s.depth > maxDepth {
		return "nested too deep"
	}
	return ""
}

// isEmptyValue reports whether t introduces an item or a field's value that is empty.
func isEmptyValue(t *token.Token) bool {
	start := t
	if t.Type == token.MappingValueType && t.Prev != nil {
		start = t.Prev
	} else if t.Type != token.SequenceEntryType {
		return false
	}
	next := t.Next
	for next != nil && next.Type == token.CommentType {
		next = next.Next
	}
	if next == nil {
		return true
	}
	if next.Position.Line == t.Position.Line || next.Position.Column > start.Position.Column {
		return false
	}
	// The items of a list may start in the column of its field's name.
	return start == t || next.Type != token.SequenceEntryType || next.Position.Column < start.Position.Column
}

// enterColumn closes the mappings to the right of column c, and counts the key if key is set.
// It returns the fault, or "".
func (s *tokenScanner) enterColumn(c int, key bool) string {
	if c < 0 || c > maxColumn {
		return "nested too deep"
	}
	clear(s.keys[c+1:])
	if key {
		s.keys[c]++
	}
	if s.keys[c] > maxKeys {
		return fmt.Sprintf("has over %d fields in one mapping", maxKeys)
	}
	return ""
}

// typeChecker checks that a document's nodes match the type that they are decoded into, as the
// YAML library also accepts "5", 5.7 or null for an integer.
type typeChecker struct {
	faults []Fault
	lines  map[string]int // line of each field; nil if not recorded
}

var durationType = reflect.TypeFor[Duration]()

func (s *typeChecker) add(field string, n ast.Node, format string, args ...any) {
	if len(s.faults) >= maxFaults {
		return
	}
	s.faults = append(s.faults, Fault{Field: field, Line: lineOf(n), Reason: fmt.Sprintf(format, args...)})
}

func lineOf(n ast.Node) int {
	if t := n.GetToken(); t != nil {
		return t.Position.Line
	}
	return 0
}

func (s *typeChecker) check(field string, n ast.Node, t reflect.Type) {
	if s.lines != nil {
		s.lines[field] = lineOf(n)
	}
	switch {
	case t == durationType:
		s.duration(field, n)
	case t.Kind() == reflect.Struct:
		s.fields(field, n, t)
	case t.Kind() == reflect.Map:
		s.entries(field, n, t.Elem())
	case t.Kind() == reflect.Slice:
		s.items(field, n, t.Elem())
	default:
		s.scalar(field, n, t)
	}
}

func (s *typeChecker) duration(field string, n ast.Node) {
	text, ok := n.(*ast.StringNode)
	if !ok {
		s.add(field, n, "must be a duration such as 1500ms or 2s")
		return
	}
	var d Duration
	if err := d.UnmarshalText([]byte(text.Value)); err != nil {
		s.add(field, n, "%v", err)
	}
}

func (s *typeChecker) scalar(field string, n ast.Node, t reflect.Type) {
	var ok bool
	switch t.Kind() {
	case reflect.String:
		_, ok = n.(*ast.StringNode)
	case reflect.Bool:
		_, ok = n.(*ast.BoolNode)
	default:
		_, ok = n.(*ast.IntegerNode)
	}
	if !ok {
		s.add(field, n, "must be %s, not %s", typeNames[t.Kind()], strings.ToLower(n.Type().String()))
	}
}

var typeNames = map[reflect.Kind]string{
	reflect.String: "a string on one line (quote it if it looks like a number)",
	reflect.Bool:   "true or false",
	reflect.Int:    "a whole number",
	reflect.Int64:  "a whole number",
}

func (s *typeChecker) items(field string, n ast.Node, t reflect.Type) {
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		s.add(field, n, "must be a list")
		return
	}
	for i, v := range list.Values {
		s.check(fmt.Sprintf("%s[%d]", field, i), v, t)
	}
}

func (s *typeChecker) entries(field string, n ast.Node, t reflect.Type) {
	for _, e := range s.pairs(field, n) {
		if key, ok := s.key(field, e); ok {
			s.check(join(field, key), e.Value, t)
		}
	}
}

func (s *typeChecker) fields(field string, n ast.Node, t reflect.Type) {
	for _, e := range s.pairs(field, n) {
		key, ok := s.key(field, e)
		if !ok {
			continue
		}
		f, ok := fieldNamed(t, key)
		if !ok {
			s.add(join(field, truncate(key)), e.Key, "unknown field")
			continue
		}
		s.check(join(field, key), e.Value, f.Type)
	}
}

func (s *typeChecker) pairs(field string, n ast.Node) []*ast.MappingValueNode {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}
	}
	s.add(field, n, "must be a mapping of fields")
	return nil
}

func (s *typeChecker) key(field string, e *ast.MappingValueNode) (string, bool) {
	key, ok := e.Key.(*ast.StringNode)
	if !ok {
		s.add(field, e.Key, "key must be a string (quote it if it looks like a number)")
		return "", false
	}
	return key.Value, true
}

func fieldNamed(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("yaml") == name {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

func join(field, key string) string {
	if field == "" {
		return key
	}
	return field + "." + key
}
