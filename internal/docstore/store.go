// Package docstore stores durable and shared state in the platform's metadata store: the
// operators' documents and the rosters, as entries whose versions never decrease, and the
// list of instances.
package docstore

import (
	"context"
	"time"

	"github.com/firlever/firlever/platform"
)

// Entry is the state of one path in the store at one revision.
type Entry struct {
	Path     string            `json:"path"`              // absolute, starts with "/"
	Version  uint64            `json:"version"`           // number of writes to this path; 0 means never written
	Revision platform.Revision `json:"revision"`          // store-wide; orders entries of different paths
	Value    []byte            `json:"value,omitempty"`   // at most MaxValue bytes; nil in a deleted entry
	Deleted  bool              `json:"deleted,omitempty"` // a deleted path keeps its version, so versions never decrease
}

// Instance is one registration in the platform's list of instances. The list lags
// behind registrations.
type Instance struct {
	ID               string `json:"id"`
	Incarnation      uint64 `json:"incarnation"` // increases with each start of the process
	PeerAddress      string `json:"address"`     // for peers, IP:port
	CallersAddress   string `json:"callers"`     // for callers, IP:port
	OperatorsAddress string `json:"operators"`   // for operators, IP:port
	Place            string `json:"place"`
	Domain           string `json:"domain"`
	Region           string `json:"region"`
	Leaving          bool   `json:"leaving,omitempty"`
}

// Store is all that firlever requires of a platform's store. Another key-value service can
// be used by implementing these methods; each returns errors of this package's types.
type Store interface {
	// Get reads one path. A path never written gives *NotFoundError.
	Get(ctx context.Context, path string) (Entry, error)
	// List reads every entry under a prefix, and the revision that it reflects.
	List(ctx context.Context, prefix string) ([]Entry, platform.Revision, error)
	// Swap writes value if the path still has the given version; version 0 creates.
	// Another version gives *ConflictError with the entry as it is. A lost answer
	// gives *UncertainError: the write may have been applied.
	Swap(ctx context.Context, path string, version uint64, value []byte) (Entry, error)
	// Delete removes a path if it still has the given version.
	Delete(ctx context.Context, path string, version uint64) (Entry, error)
	// Restore writes an entry at its own version if the path is at an earlier version,
	// because the store was restored from a snapshot that lacks the entry.
	Restore(ctx context.Context, e Entry) error
	// Watch waits for entries under prefix that change after the revision, and returns
	// them with the revision to watch from next. It returns none if wait elapses.
	Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]Entry, platform.Revision, error)
	// Register adds this instance to the platform's list, or renews its registration.
	Register(ctx context.Context, in Instance) error
	// Instances reads the list of live and leaving instances, and the revision that it
	// reflects. The list lags behind registrations.
	Instances(ctx context.Context) ([]Instance, platform.Revision, error)
}
