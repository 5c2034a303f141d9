package settings

import (
	"maps"
	"net/http"
	"path"
	"slices"
	"strings"
	"time"
)

// CompiledService is a service's document, ready to steer by. It never changes.
type CompiledService struct {
	id     ServiceID
	doc    *Service
	places []string // sorted keys of doc.Places
}

func newCompiledService(id ServiceID, doc *Service) *CompiledService {
	return &CompiledService{id: id, doc: doc, places: slices.Sorted(maps.Keys(doc.Places))}
}

// ID names the service.
func (s *CompiledService) ID() ServiceID { return s.id }

// Class is ClassInteractive or ClassBulk.
func (s *CompiledService) Class() string { return s.doc.Class }

// Bulk says whether interactive requests go before this service's.
func (s *CompiledService) Bulk() bool { return s.doc.Class == ClassBulk }

// Timeout is the longest that a request may take.
func (s *CompiledService) Timeout() time.Duration { return time.Duration(s.doc.Timeout) }

// Shift is by how much the shifted requests of one second at one place may
// exceed those of the second before.
func (s *CompiledService) Shift() int { return s.doc.Shift }

// Site is the service's part in a place. The caller must not change its targets.
func (s *CompiledService) Site(place string) (Site, bool) {
	site, ok := s.doc.Places[place]
	return site, ok
}

// Places are the places with a site, sorted. The caller must not change them.
func (s *CompiledService) Places() []string { return s.places }

// Idempotent says whether a request may run more than once. path is the
// decoded path below the service, from its first slash on.
//
// The first rule that matches wins. A doubtful path, with an empty, '.' or
// '..' part or an escape left in it, is never idempotent: a target could read
// it as another path than the rules do.
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

// matches errs on the safe side: a rule that declares requests idempotent
// covers whole parts of a path only, one that denies it every path that
// starts so.
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

// isUnambiguousPath says whether p can be read in one way only. Some servers take what
// follows a semicolon for parameters, and so read /a/..;/b as /b.
func isUnambiguousPath(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.ContainsAny(p, "%\\;") {
		return false
	}
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}

// filterPlaces leaves out the sites in places that keep refuses. It gives s itself
// when there are none.
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

// hasTarget finds a hasTarget by its name.
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
