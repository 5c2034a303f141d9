// Package docstore keeps what must last or be agreed in the platform's metadata
// store: the operators' documents and rosters, as entries whose versions never go
// back, and the list of instances.
package docstore

import (
	"context"
	"time"

	"github.com/firlever/firlever/platform"
)

// Entry is one key of the platform's service as it stood at one moment.
type Entry struct {
	Path     string            `json:"path"`              // absolute, starts with "/"
	Version  uint64            `json:"version"`           // counts the writes to this path; 0 means the path has never been written
	Revision platform.Revision `json:"revision"`          // of the whole store; orders entries of different paths
	Value    []byte            `json:"value,omitempty"`   // at most MaxValue bytes; nil in a deleted entry
	Deleted  bool              `json:"deleted,omitempty"` // a deleted path keeps its version, so that versions never go back
}

// Instance is one line of the platform's list of instances. The list lags.
type Instance struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"` // grows each time the process starts anew
	Address     string `json:"address"`     // peers' address, IP:port
	Callers     string `json:"callers"`     // callers' address, IP:port
	Operators   string `json:"operators"`   // operators' address, IP:port
	Place       string `json:"place"`
	Domain      string `json:"domain"`
	Region      string `json:"region"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// Store is all that firlever asks of a platform. Another key-value service is
// put behind it by writing these methods; each returns an error of this
// package's types.
type Store interface {
	// Get reads one path. A path never written gives *NotFoundError.
	Get(ctx context.Context, path string) (Entry, error)
	// List reads every entry under a prefix, with the revision it is true at.
	List(ctx context.Context, prefix string) ([]Entry, platform.Revision, error)
	// Swap writes value if the path still has the given version; 0 creates.
	// A lost race gives *ConflictError with the newer entry; an answer that
	// never came gives *UncertainError: the write may have landed.
	Swap(ctx context.Context, path string, version uint64, value []byte) (Entry, error)
	// Delete removes a path if it still has the given version.
	Delete(ctx context.Context, path string, version uint64) (Entry, error)
	// Restore writes an entry at its version if the path is at an earlier one, as a platform
	// that came back from a copy of itself has lost it.
	Restore(ctx context.Context, e Entry) error
	// Watch waits for entries under prefix past the revision, and returns them
	// with the revision to watch from next. It returns none when wait is over.
	Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]Entry, platform.Revision, error)
	// Register puts this instance in the platform's list, or renews its line.
	Register(ctx context.Context, in Instance) error
	// Instances reads the list of live and leaving instances, and the revision that it is true
	// at. It lags.
	Instances(ctx context.Context) ([]Instance, platform.Revision, error)
}
