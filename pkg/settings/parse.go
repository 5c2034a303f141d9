package settings

import (
	"bytes"
	"fmt"
	"reflect"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

// MaxBody is the maximum size of a document in bytes, which the platform sets.
const MaxBody = 1 << 20

// Parsed is a parsed document that is valid by itself. It is immutable. At most
// one of Place, Blocks, Team, Service and Drain returns a value, and none for a
// deleted document.
type Parsed struct {
	path     Path
	document Document // without Body
	place    *Place
	blocks   *Blocks
	team     *Team
	service  *CompiledService
	drain    *Drain
}

// Path returns the document's path.
func (p *Parsed) Path() Path { return p.path }

// Version returns the document's version.
func (p *Parsed) Version() uint64 { return p.document.Version }

// Deleted reports whether the document was deleted at this version.
func (p *Parsed) Deleted() bool { return p.document.Deleted }

// Place returns the document's content, or nil for a document of another kind.
func (p *Parsed) Place() *Place { return p.place }

// Blocks returns the document's content, or nil for a document of another kind.
func (p *Parsed) Blocks() *Blocks { return p.blocks }

// Team returns the document's content, or nil for a document of another kind.
func (p *Parsed) Team() *Team { return p.team }

// Service returns the compiled service, or nil for a document of another kind.
func (p *Parsed) Service() *CompiledService { return p.service }

// Drain returns the document's content, or nil for a document of another kind.
func (p *Parsed) Drain() *Drain { return p.drain }

// Parse strictly parses one document and validates it by itself; Compile checks
// its references to other documents. The error is always a *FaultsError.
func Parse(doc Document) (*Parsed, error) {
	path, err := ParsePath(doc.Path)
	if err != nil {
		return nil, newFaultsError([]Fault{{Path: truncate(doc.Path), Reason: err.(*PathError).Reason}})
	}
	p := &Parsed{path: path, document: doc}
	p.document.Body = nil
	if doc.Deleted {
		return p, nil
	}
	faults := p.decodeBody(doc.Body)
	for i := range faults {
		faults[i].Path = doc.Path
	}
	if err := newFaultsError(faults); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Parsed) decodeBody(body []byte) []Fault {
	switch p.path.Kind {
	case KindPlace:
		p.place = &Place{}
		return decode(body, p.place, func() []Fault {
			p.place.Defaults(p.path.Name)
			return p.place.faults()
		})
	case KindBlocks:
		p.blocks = &Blocks{}
		defer p.blocks.internPlaces()
		return decode(body, p.blocks, p.blocks.faults)
	case KindTeam:
		p.team = &Team{}
		return decode(body, p.team, func() []Fault {
			p.team.Defaults()
			return p.team.faults()
		})
	case KindService:
		service := &Service{}
		faults := decode(body, service, service.faults)
		p.service = newCompiledService(ServiceID{Team: p.path.Team, Name: p.path.Name}, service)
		return faults
	default:
		p.drain = &Drain{}
		return decode(body, p.drain, func() []Fault { return p.drain.faults(p.path.Team) })
	}
}

// decode parses body into v, calls validate, and adds the lines to the faults that it returns.
func decode[T any](body []byte, v *T, validate func() []Fault) []Fault {
	root, faults := parseRoot(body)
	if faults != nil {
		return faults
	}
	s := &typeChecker{}
	s.check("", root, reflect.TypeFor[T]())
	if s.faults != nil {
		return s.faults
	}
	if err := yaml.NodeToValue(root, v, yaml.Strict()); err != nil {
		return []Fault{yamlFault(err)}
	}
	faults = validate()
	if faults == nil {
		return nil
	}
	s.lines = make(map[string]int)
	s.check("", root, reflect.TypeFor[T]())
	for i, f := range faults {
		faults[i].Line = s.lines[f.Field]
	}
	return faults
}

// parseRoot returns the root node of the only YAML document in body.
func parseRoot(body []byte) (ast.Node, []Fault) {
	switch {
	case len(body) > MaxBody:
		return nil, []Fault{{Reason: fmt.Sprintf("is %d bytes, at most %d", len(body), MaxBody)}}
	case !utf8.Valid(body):
		return nil, []Fault{{Reason: "is not valid UTF-8"}}
	}
	line := 0
	for text := range bytes.Lines(body) {
		line++
		if line > MaxLines {
			return nil, []Fault{{Line: line, Reason: fmt.Sprintf("has over %d lines, comments included", MaxLines)}}
		}
		if len(text) > MaxLine {
			return nil, []Fault{{Line: line, Reason: fmt.Sprintf("line is %d bytes, at most %d", len(text), MaxLine)}}
		}
	}
	tokens := lexer.Tokenize(string(body))
	if faults := checkTokens(tokens); faults != nil {
		return nil, faults
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		return nil, []Fault{yamlFault(err)}
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, []Fault{{Reason: fmt.Sprintf("holds %d documents, want one", countNonEmpty(file))}}
	}
	return file.Docs[0].Body, nil
}

func countNonEmpty(file *ast.File) int {
	n := 0
	for _, d := range file.Docs {
		if d.Body != nil {
			n++
		}
	}
	return n
}

func yamlFault(err error) Fault {
	f := Fault{Reason: err.Error()}
	if e, ok := err.(yaml.Error); ok {
		f.Reason = e.GetMessage()
		if t := e.GetToken(); t != nil {
			f.Line = t.Position.Line
		}
	}
	f.Reason = truncate(f.Reason)
	return f
}
