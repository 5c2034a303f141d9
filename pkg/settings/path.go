package settings

import (
	"fmt"
	"strings"
)

// MaxName is the maximum length of a name in a path, in bytes.
const MaxName = 63

// Prefixes of the paths that hold documents.
const (
	PlacesPrefix = "/places/"
	BlocksPrefix = "/blocks/"
	TeamsPrefix  = "/teams/"
	DrainsPrefix = "/drains/"
)

// SystemTeam is the team whose tokens grant access to documents that belong to no other team.
const SystemTeam = "system"

// Kind is the type of the document at a path.
type Kind int

// Kinds of documents. A document refers only to documents of earlier kinds.
const (
	KindPlace Kind = iota + 1
	KindTeam
	KindBlocks
	KindService
	KindDrain     // at /drains/<name>
	KindTeamDrain // at /teams/<team>/drains/<name>
)

var kindNames = map[Kind]string{
	KindPlace: "place", KindTeam: "team", KindBlocks: "blocks",
	KindService: "service", KindDrain: "drain", KindTeamDrain: "team drain",
}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Path is the parsed path of a document. Paths are comparable.
type Path struct {
	Kind Kind
	Team string // empty outside /teams
	Name string // last part of the path; the team's name for KindTeam
}

// String formats the path, or returns "" for the zero Path.
func (p Path) String() string {
	switch p.Kind {
	case KindPlace:
		return PlacesPrefix + p.Name
	case KindBlocks:
		return BlocksPrefix + p.Name
	case KindTeam:
		return TeamsPrefix + p.Team + "/team"
	case KindService:
		return TeamsPrefix + p.Team + "/services/" + p.Name
	case KindDrain:
		return DrainsPrefix + p.Name
	case KindTeamDrain:
		return TeamsPrefix + p.Team + "/drains/" + p.Name
	}
	return ""
}

// Owner returns the team that owns the document, which is SystemTeam outside /teams.
func (p Path) Owner() string {
	if p.Team == "" {
		return SystemTeam
	}
	return p.Team
}

// PlacePath returns the path of a place's document.
func PlacePath(place string) string { return Path{Kind: KindPlace, Name: place}.String() }

// BlocksPath returns the path of a document of blocks.
func BlocksPath(name string) string { return Path{Kind: KindBlocks, Name: name}.String() }

// TeamPath returns the path of a team's document.
func TeamPath(team string) string { return Path{Kind: KindTeam, Team: team}.String() }

// ServicePath returns the path of a service's document.
func ServicePath(id ServiceID) string {
	return Path{Kind: KindService, Team: id.Team, Name: id.Name}.String()
}

// DrainPath returns the path of a drain that belongs to no team.
func DrainPath(name string) string { return Path{Kind: KindDrain, Name: name}.String() }

// TeamDrainPath returns the path of a team's drain.
func TeamDrainPath(team, name string) string {
	return Path{Kind: KindTeamDrain, Team: team, Name: name}.String()
}

// ParsePath parses a path. It returns a *PathError if the path is of no kind or
// contains an invalid name.
func ParsePath(s string) (Path, error) {
	parts := strings.Split(s, "/")
	p, ok := classify(parts)
	if !ok {
		return Path{}, &PathError{Path: s, Reason: "no document is kept under this path"}
	}
	for _, name := range []string{p.Name, p.Owner()} {
		if !ValidName(name) {
			return Path{}, &PathError{Path: s, Reason: fmt.Sprintf("%q %s", truncate(name), nameRule)}
		}
	}
	return p, nil
}

func classify(parts []string) (Path, bool) {
	if len(parts) < 3 || parts[0] != "" {
		return Path{}, false
	}
	rest := parts[2:]
	switch {
	case parts[1] == "places" && len(rest) == 1:
		return Path{Kind: KindPlace, Name: rest[0]}, true
	case parts[1] == "blocks" && len(rest) == 1:
		return Path{Kind: KindBlocks, Name: rest[0]}, true
	case parts[1] == "drains" && len(rest) == 1:
		return Path{Kind: KindDrain, Name: rest[0]}, true
	case parts[1] == "teams":
		return classifyTeam(rest)
	}
	return Path{}, false
}

func classifyTeam(rest []string) (Path, bool) {
	switch {
	case len(rest) == 2 && rest[1] == "team":
		return Path{Kind: KindTeam, Team: rest[0], Name: rest[0]}, true
	case len(rest) == 3 && rest[1] == "services":
		return Path{Kind: KindService, Team: rest[0], Name: rest[2]}, true
	case len(rest) == 3 && rest[1] == "drains":
		return Path{Kind: KindTeamDrain, Team: rest[0], Name: rest[2]}, true
	}
	return Path{}, false
}

const nameRule = "is not a name: 1 to 63 lower-case letters, digits or '-'"

// ValidName reports whether s is a valid name of a place, team, service, target or drain.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxName {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// ServiceID identifies a service of a team. It is comparable.
type ServiceID struct {
	Team string
	Name string
}

// String returns team/name.
func (id ServiceID) String() string { return id.Team + "/" + id.Name }

// Compare orders IDs by team, then by name.
func (id ServiceID) Compare(other ServiceID) int {
	if c := strings.Compare(id.Team, other.Team); c != 0 {
		return c
	}
	return strings.Compare(id.Name, other.Name)
}

// ParseServiceID parses team/name. It returns a *PathError for other text.
func ParseServiceID(s string) (ServiceID, error) {
	team, name, ok := strings.Cut(s, "/")
	if !ok || !ValidName(team) || !ValidName(name) {
		return ServiceID{}, &PathError{Path: truncate(s), Reason: "service must be written team/name"}
	}
	return ServiceID{Team: team, Name: name}, nil
}
