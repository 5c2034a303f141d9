package instance

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/platform"
)

// epochStore passes the revision of each answer of a store to observe.
type epochStore struct {
	docstore.Store
	observe func(at platform.Revision)
}

// Get reads one path.
func (s *epochStore) Get(ctx context.Context, path string) (docstore.Entry, error) {
	e, err := s.Store.Get(ctx, path)
	s.observe(e.Revision)
	return e, err
}

// List reads every entry under a prefix.
func (s *epochStore) List(ctx context.Context, prefix string) ([]docstore.Entry, platform.Revision, error) {
	entries, at, err := s.Store.List(ctx, prefix)
	s.observe(at)
	return entries, at, err
}

// Swap writes value if the path still has the given version.
func (s *epochStore) Swap(ctx context.Context, path string, version uint64, value []byte) (docstore.Entry, error) {
	e, err := s.Store.Swap(ctx, path, version, value)
	s.observe(e.Revision)
	return e, err
}

// Watch waits for entries under prefix past a revision.
func (s *epochStore) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]docstore.Entry, platform.Revision, error) {
	entries, at, err := s.Store.Watch(ctx, prefix, after, wait)
	if err == nil {
		s.observe(at)
	}
	return entries, at, err
}

// Instances reads the list of instances.
func (s *epochStore) Instances(ctx context.Context) ([]docstore.Instance, platform.Revision, error) {
	list, at, err := s.Store.Instances(ctx)
	s.observe(at)
	return list, at, err
}

// operatorStore is the store for operators. While a restored store is being written again,
// it does not return versions that are older than those already confirmed to operators, and
// it refuses changes.
type operatorStore struct {
	docstore.Store
	in *Instance
}

func (in *Instance) operatorStore() docstore.Store {
	return &operatorStore{Store: in.cfg.Store, in: in}
}

// Get reads one path. If a later version of the document is held here, it is written to the
// store first.
func (s *operatorStore) Get(ctx context.Context, path string) (docstore.Entry, error) {
	e, err := s.Store.Get(ctx, path)
	if !s.behind(path, e, err) {
		return e, err
	}
	if err := s.in.restoreDocument(ctx, path); err != nil {
		return docstore.Entry{}, &docstore.UnavailableError{Call: "Get", Err: err}
	}
	return s.Store.Get(ctx, path)
}

// behind reports whether the store has an earlier version of a document than is held here.
func (s *operatorStore) behind(path string, e docstore.Entry, err error) bool {
	var missing *docstore.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return false
	}
	doc, held := s.in.docs.Get(path)
	return held && doc.Version > e.Version
}

// List reads every entry under a prefix. Documents that are held here at a later version
// are returned as held here.
func (s *operatorStore) List(ctx context.Context, prefix string) ([]docstore.Entry, platform.Revision, error) {
	entries, at, err := s.Store.List(ctx, prefix)
	if err != nil {
		return nil, at, err
	}
	stored := make(map[string]int, len(entries))
	for i, e := range entries {
		stored[e.Path] = i
	}
	for _, doc := range s.in.docs.Documents() {
		i, ok := stored[doc.Path]
		if !strings.HasPrefix(doc.Path, prefix) || ok && entries[i].Version >= doc.Version {
			continue
		}
		value, err := docstore.EncodeRestored(doc)
		if err != nil {
			return nil, at, err
		}
		e := docstore.Entry{Path: doc.Path, Version: doc.Version, Revision: at, Value: value}
		if ok {
			entries[i] = e
		} else {
			entries = append(entries, e)
		}
	}
	return entries, at, nil
}

// Swap writes value if the path still has the given version.
func (s *operatorStore) Swap(ctx context.Context, path string, version uint64, value []byte) (docstore.Entry, error) {
	if s.in.restoration.restoring(s.in.now()) {
		return docstore.Entry{}, &docstore.UnavailableError{Call: "Swap", Err: &RestoringError{}}
	}
	e, err := s.Store.Swap(ctx, path, version, value)
	if err == nil {
		s.in.restoration.recordWrite(s.in.now(), path)
	}
	return e, err
}

// Delete removes a path if it still has the given version.
func (s *operatorStore) Delete(ctx context.Context, path string, version uint64) (docstore.Entry, error) {
	if s.in.restoration.restoring(s.in.now()) {
		return docstore.Entry{}, &docstore.UnavailableError{Call: "Delete", Err: &RestoringError{}}
	}
	return s.Store.Delete(ctx, path, version)
}
