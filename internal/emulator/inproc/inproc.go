// Package inproc keeps firlever's own documents in the emulated store of the platform, in the
// same process and without sockets, for tests and trials.
package inproc

import (
	"net/http"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/platform"
)

// Store is a client for documents, with the emulated store that it uses.
type Store struct {
	*docstore.Client

	emulator *store.Store
}

// New returns an empty store, to be closed with Close. It returns a *store.ConfigError if cfg is
// invalid.
func New(cfg store.Config) (*Store, error) {
	emulator, err := store.NewStore(cfg)
	if err != nil {
		return nil, err
	}
	return &Store{Client: docstore.NewClient(platform.NewStoreOver("stand-in", emulator)), emulator: emulator}, nil
}

// SetFaults replaces the faults of the emulated store, also for watches that are waiting.
func (s *Store) SetFaults(f store.Faults) { s.emulator.SetFaults(f) }

// TakeSnapshot takes a snapshot of the emulated store's content.
func (s *Store) TakeSnapshot() *store.Snapshot { return s.emulator.TakeSnapshot() }

// RestoreSnapshot restores the emulated store from a snapshot. Documents are written by the system
// itself: no other writer makes lost writes again.
func (s *Store) RestoreSnapshot(c *store.Snapshot) { s.emulator.RestoreSnapshot(c) }

// Calls returns the number of calls of a path of the platform's store.
func (s *Store) Calls(path string) int { return s.emulator.Calls(path) }

// Server returns an HTTP server that speaks the platform's protocol on the same entries.
func (s *Store) Server() *http.Server { return s.emulator.Server() }

// Close closes the client and the emulated store.
func (s *Store) Close() {
	s.Client.Close()
	s.emulator.Close()
}
