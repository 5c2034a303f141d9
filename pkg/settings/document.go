// Package settings defines the documents that operators store under paths: their
// types, strict parsing, validation, and the compiled snapshot that instances
// use. It does no I/O.
//
// The documents are plain structs with exported fields, because the yaml
// library decodes into them; the compiled types have only accessors.
package settings

// Document is an operator's document as stored under its path.
type Document struct {
	Path    string // absolute, e.g. /teams/robotics/services/runorder
	Version uint64 // increases by one with each write; never decreases
	Body    []byte // YAML
	Deleted bool
}

// Place is the document at /places/<place>.
type Place struct {
	Region string `yaml:"region"`
	Domain string `yaml:"domain"`
	Limit  int    `yaml:"limit"` // in-flight requests at all targets of the place, over all services
	Link   int64  `yaml:"link"`  // bytes/s for bulk requests that leave the place; 0 means no limit
}

// Blocks is a document at /blocks/<name>: a part of the table that maps callers' addresses to
// home places.
type Blocks struct {
	Blocks []Block `yaml:"blocks"`
}

// Block assigns a home place to the callers whose addresses have one prefix.
type Block struct {
	Prefix string `yaml:"prefix"` // CIDR
	Place  string `yaml:"place"`
}

// Team is the document at /teams/<team>/team.
type Team struct {
	Share  int     `yaml:"share"` // weight of the team at an overloaded place
	Tokens []Token `yaml:"tokens"`
}

// Token grants its bearer access to one team's subtree.
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
	Timeout Duration        `yaml:"timeout"` // maximum duration of a request; a caller may request less
	Shift   int             `yaml:"shift"`   // shift cap: maximum growth of the shifted requests/s at one place, per second
	Rules   []Rule          `yaml:"rules"`   // first match wins; without a match only GET, HEAD and OPTIONS are idempotent
	Places  map[string]Site `yaml:"places"`
}

// Rule declares requests of a service idempotent or not.
type Rule struct {
	Method     string `yaml:"method"` // empty matches every method
	Prefix     string `yaml:"prefix"` // of the path below the service
	Idempotent bool   `yaml:"idempotent"`
}

// Site is the part of a service that runs in one place.
type Site struct {
	Limit   int      `yaml:"limit"` // in-flight requests of the service in the place
	Targets []Target `yaml:"targets"`
}

// Target is one back end of a service in a place.
type Target struct {
	Name        string `yaml:"name"`        // unique in its service
	Address     string `yaml:"address"`     // IP:port
	Slots       int    `yaml:"slots"`       // maximum number of concurrent requests
	Connections int    `yaml:"connections"` // maximum number of open connections
}

// Drain is a document at /drains/<name> or /teams/<team>/drains/<name>. The
// place, instance or target that it names gets no new requests. Exactly one of
// Place, Instance and Target is set; Place with Service drains only that
// service. Service is required for drains of a team.
type Drain struct {
	Place    string `yaml:"place"`
	Instance string `yaml:"instance"`
	Service  string `yaml:"service"`
	Target   string `yaml:"target"` // name of a target of Service
	Reason   string `yaml:"reason"`
}
