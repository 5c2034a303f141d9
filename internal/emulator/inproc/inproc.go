// Package inproc keeps firlever's own documents on the stand-in of the platform's
// store, in the same process and without sockets, for tests and trials.
package inproc

import (
	"net/http"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/platform"
)

// Store is the documents' client and the stand-in behind it.
type Store struct {
	*docstore.Client

	emulator *store.Store
}

// New makes an empty store. It returns a *store.ConfigError.
func New(cfg store.Config) (*Store, error) {
	emulator, err := store.NewStore(cfg)
	if err != nil {
		return nil, err
	}
	return &Store{Client: docstore.NewClient(platform.NewStoreOver("stand-in", emulator)), emulator: emulator}, nil
}

// SetFaults replaces the faults of the stand-in, also for calls that wait.
func (s *Store) SetFaults(f store.Faults) { s.emulator.SetFaults(f) }

// Copy takes a copy of all that the stand-in holds.
func (s *Store) Copy() *store.Copy { return s.emulator.Copy() }

// GoBack lets the stand-in come back from a copy. Documents are the system's own: nobody else
// writes them again.
func (s *Store) GoBack(c *store.Copy) { s.emulator.GoBack(c) }

// Calls returns how often a path of the platform's store was called.
func (s *Store) Calls(path string) int { return s.emulator.Calls(path) }

// Server makes a server of the platform's protocol over the same entries.
func (s *Store) Server() *http.Server { return s.emulator.Server() }

// Close ends the stand-in.
func (s *Store) Close() {
	s.Client.Close()
	s.emulator.Close()
}
