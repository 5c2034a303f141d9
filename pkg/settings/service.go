package settings

import (
	"maps"
	"net/http"
	"path"
	"slices"
	"strings"
	"time"
)

// CompiledService is a service's document, compiled for use by instances. It is immutable.
type CompiledService struct {
	id     ServiceID
	doc    *Service
	places []string // sorted keys of doc.Places
}

func newCompiledService(id ServiceID, doc *Service) *CompiledService {
	return &CompiledService{id: id, doc: doc, places: slices.Sorted(maps.Keys(doc.Places))}
}

// ID returns the ID of the service.
func (s *CompiledService) ID() ServiceID { return s.id }

// Class returns ClassInteractive or ClassBulk.
func (s *CompiledService) Class() string { return s.doc.Class }

// Bulk reports whether interactive requests have priority over this service's.
func (s *CompiledService) Bulk() bool { return s.doc.Class == ClassBulk }

// Timeout returns the maximum duration of a request.
func (s *CompiledService) Timeout() time.Duration { return time.Duration(s.doc.Timeout) }

// Shift returns the number by which the shifted requests of one second at one
// place may exceed those of the second before.
func (s *CompiledService) Shift() int { return s.doc.Shift }

// Site returns the service's site in a place, if it has one. Its targets must not be modified.
func (s *CompiledService) Site(place string) (Site, bool) {
	site, ok := s.doc.Places[place]
	return site, ok
}

// Places returns the places with a site, sorted. The result must not be modified.
func (s *CompiledService) Places() []string { return s.places }

// Idempotent reports whether a request may run more than once. path is the
// decoded path below the service, from its first slash on.
//
// The first rule that matches wins. An ambiguous path, with an empty, '.' or
// '..' part or a remaining escape, is never idempotent: a target could resolve
// it to another path than the rules do.
func (s *CompiledService) Idempotent(method, path string) bool {
	if !isUnambiguousPath(path) {
		return false
	}
	for _, r := range s.doc.Rules {
		if r.matches(method, path) {
			return r.Idempotent
		}
	}
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// matches reports whether the rule covers a request. A rule that declares
// requests idempotent matches only whole parts of a path, and one that declares
// them not idempotent every path with its prefix, so that errors are on the safe
// side.
func (r Rule) matches(method, path string) bool {
	if r.Method != "" && r.Method != method {
		return false
	}
	rest, ok := strings.CutPrefix(path, r.Prefix)
	if !ok || !r.Idempotent {
		return ok
	}
	return rest == "" || rest[0] == '/' || r.Prefix == "" || strings.HasSuffix(r.Prefix, "/")
}

// isUnambiguousPath reports whether all servers resolve p to the same path. Some servers treat
// the text after a semicolon as parameters, and so resolve /a/..;/b to /b.
func isUnambiguousPath(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.ContainsAny(p, "%\\;") {
		return false
	}
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}

// filterPlaces returns the service without the sites in places for which keep returns false. It
// returns s itself if it drops none.
func (s *CompiledService) filterPlaces(keep func(place string) bool) *CompiledService {
	if !slices.ContainsFunc(s.places, func(p string) bool { return !keep(p) }) {
		return s
	}
	doc := *s.doc
	doc.Places = make(map[string]Site, len(s.places))
	for _, p := range s.places {
		if keep(p) {
			doc.Places[p] = s.doc.Places[p]
		}
	}
	return newCompiledService(s.id, &doc)
}

// hasTarget reports whether the service has a target with this name.
func (s *CompiledService) hasTarget(name string) bool {
	for _, p := range s.places {
		for _, t := range s.doc.Places[p].Targets {
			if t.Name == name {
				return true
			}
		}
	}
	return false
}
