package operator

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/pkg/settings"
)

// Status is the state of one instance at one moment, as observed by that instance.
type Status struct {
	Instance      string            `json:"instance"`
	Incarnation   uint64            `json:"incarnation"`
	Place         string            `json:"place"`
	Domain        string            `json:"domain"`
	Region        string            `json:"region"`
	Ready         bool              `json:"ready"`
	Reason        string            `json:"reason,omitempty"` // why it is not ready
	DocumentsHash string            `json:"root"`             // hash over the versions of all documents, in hex
	DocumentCount int               `json:"count"`            // number of documents, including deleted ones
	Documents     []Version         `json:"documents,omitempty"`
	Peers         []Peer            `json:"peers,omitempty"`
	Places        []Place           `json:"places,omitempty"`
	Services      []Service         `json:"services,omitempty"`
	Targets       []Target          `json:"targets,omitempty"`
	Drains        []Drain           `json:"drains,omitempty"`
	Invariants    []invariant.Count `json:"invariants,omitempty"`
}

// Version is the version in force of one document.
type Version struct {
	Path    string `json:"path"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Peer is another instance as observed by this one.
type Peer struct {
	ID      string `json:"id"`
	Address string `json:"address"` // for peers
	Place   string `json:"place"`
	State   string `json:"state"` // e.g. alive, suspect, leaving, dead
}

// Load is the use of a limit, in requests.
type Load struct {
	Limit    int `json:"limit"`
	InFlight int `json:"use"` // in flight
	Queued   int `json:"queued"`
	Free     int `json:"free"`     // free slots
	Headroom int `json:"headroom"` // Limit less requests in flight and less drained or unavailable slots
}

// Place is the load of one place over all services, as observed by this instance.
type Place struct {
	Name string `json:"name"`
	Load
}

// Service is the load of one service in one place.
type Service struct {
	Service string `json:"service"` // team/name
	Place   string `json:"place"`
	Load
	Shifted        float64 `json:"shifted"` // current rate of shifted requests/s
	MaxShiftGrowth int     `json:"cap"`     // requests/s by which Shifted may grow each second
}

// Target is the state of one target.
type Target struct {
	Name      string `json:"name"`
	Service   string `json:"service"` // team/name
	Place     string `json:"place"`
	Address   string `json:"address"`
	Owner     string `json:"owner"`     // instance that sends to it; empty if none
	Allowance int    `json:"allowance"` // maximum requests in flight from the owner
	InFlight  int    `json:"use"`       // in flight; reported only by the owner
	Health    string `json:"health"`
	Drained   bool   `json:"drained"`
}

// Drain is a drain in progress.
type Drain struct {
	Path      string    `json:"path"`
	Place     string    `json:"place,omitempty"`
	Instance  string    `json:"instance,omitempty"`
	Service   string    `json:"service,omitempty"` // team/name
	Target    string    `json:"target,omitempty"`
	Reason    string    `json:"reason,omitempty"`
	Remaining int       `json:"left"`            // remaining requests in flight
	Finish    time.Time `json:"finish,omitzero"` // predicted; zero if unknown
}

// Report is the status of one instance, or why it is not available.
type Report struct {
	Instance string  `json:"instance"`
	Address  string  `json:"address"` // for operators
	Status   *Status `json:"status,omitempty"`
	Error    string  `json:"error,omitempty"`
}

// Versions returns the versions of documents for Status.Documents, sorted by path.
func Versions(docs []settings.Document) []Version {
	list := make([]Version, 0, len(docs))
	for _, d := range docs {
		list = append(list, Version{Path: d.Path, Version: d.Version, Deleted: d.Deleted})
	}
	slices.SortFunc(list, func(a, b Version) int { return strings.Compare(a.Path, b.Path) })
	return list
}

// forTeam returns the part of a status that a team may read: its own services, targets,
// drains and documents, and everything that belongs to no team.
func (s Status) forTeam(team string) Status {
	own := func(service string) bool { return strings.HasPrefix(service, team+"/") }
	s.Documents = filter(s.Documents, func(d Version) bool {
		return strings.HasPrefix(d.Path, settings.TeamsPrefix+team+"/")
	})
	s.Services = filter(s.Services, func(v Service) bool { return own(v.Service) })
	s.Targets = filter(s.Targets, func(t Target) bool { return own(t.Service) })
	s.Drains = filter(s.Drains, func(d Drain) bool { return d.Service == "" || own(d.Service) })
	return s
}

// withVersionsOf returns a status with only the document versions of the given paths.
func (s Status) withVersionsOf(paths []string) Status {
	s.Documents = filter(s.Documents, func(d Version) bool { return slices.Contains(paths, d.Path) })
	return s
}

func filter[T any](list []T, keep func(T) bool) []T {
	var kept []T
	for _, v := range list {
		if keep(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

type bearerKey struct{}

func withBearer(ctx context.Context, bearer string) context.Context {
	return context.WithValue(ctx, bearerKey{}, bearer)
}

// bearerFrom returns the token of the operator whose request is being served.
func bearerFrom(ctx context.Context) string {
	bearer, _ := ctx.Value(bearerKey{}).(string)
	return bearer
}
