// Package settings holds the documents that operators keep under paths: their
// types, strict parsing, validation, and the compiled snapshot that an
// instance steers by. It does no input or output.
//
// The documents are plain structs with exported fields, because the yaml
// library fills them; what is compiled from them has accessors alone.
package settings

// Document is one operator's document as kept under its path.
type Document struct {
	Path    string // absolute, e.g. /teams/robotics/services/runorder
	Version uint64 // grows by one a write; never goes back
	Body    []byte // YAML
	Deleted bool
}

// Place is the document at /places/<place>.
type Place struct {
	Region string `yaml:"region"`
	Domain string `yaml:"domain"`
	Limit  int    `yaml:"limit"` // requests in flight at all targets of the place, over all services
	Link   int64  `yaml:"link"`  // bytes/s for bulk work that leaves the place; 0 sets no limit
}

// Blocks is a document at /blocks/<name>: a part of the table of callers' addresses.
type Blocks struct {
	Blocks []Block `yaml:"blocks"`
}

// Block says which place is home to the callers of one prefix.
type Block struct {
	Prefix string `yaml:"prefix"` // CIDR
	Place  string `yaml:"place"`
}

// Team is the document at /teams/<team>/team.
type Team struct {
	Share  int     `yaml:"share"` // weight of the team at a contested place
	Tokens []Token `yaml:"tokens"`
}

// Token lets its bearer act on one team's subtree.
type Token struct {
	Name string `yaml:"name"`
	Hash string `yaml:"hash"` // hex SHA-256 of the bearer token
	Role string `yaml:"role"` // RoleRead or RoleWrite
}

// Roles of a token.
const (
	RoleRead  = "read"
	RoleWrite = "write"
)

// Classes of a service.
const (
	ClassInteractive = "interactive"
	ClassBulk        = "bulk"
)

// Service is the document at /teams/<team>/services/<service>.
type Service struct {
	Class   string          `yaml:"class"`   // ClassInteractive or ClassBulk
	Timeout Duration        `yaml:"timeout"` // longest a request may take; a caller may ask for less
	Shift   int             `yaml:"shift"`   // shift cap: by how much shifted requests/s may grow each second at one place
	Rules   []Rule          `yaml:"rules"`   // first match wins; without one GET, HEAD and OPTIONS are idempotent, others are not
	Places  map[string]Site `yaml:"places"`
}

// Rule says which requests of a service are idempotent.
type Rule struct {
	Method     string `yaml:"method"` // empty matches every method
	Prefix     string `yaml:"prefix"` // of the path below the service
	Idempotent bool   `yaml:"idempotent"`
}

// Site is a service's part in one place.
type Site struct {
	Limit   int      `yaml:"limit"` // requests of the service in flight in the place
	Targets []Target `yaml:"targets"`
}

// Target is one back end of a service in a place.
type Target struct {
	Name        string `yaml:"name"`        // unique in its service
	Address     string `yaml:"address"`     // IP:port
	Slots       int    `yaml:"slots"`       // requests it works on at one time
	Connections int    `yaml:"connections"` // connections that may be open to it
}

// Drain is a document at /drains/<name> or /teams/<team>/drains/<name>: what it
// names gets no new work. Exactly one of Place, Instance and Target is set;
// Place with Service drains that service alone. Below a team, Service is needed.
type Drain struct {
	Place    string `yaml:"place"`
	Instance string `yaml:"instance"`
	Service  string `yaml:"service"`
	Target   string `yaml:"target"` // name of a target of Service
	Reason   string `yaml:"reason"`
}
