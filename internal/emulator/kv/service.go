package kv

import (
	"bytes"
	"math/rand/v2"
	"sort"
	"strings"

	"github.com/firlever/firlever/internal/platform"
)

// Service is the core of the stand-in. It does no input or output, and is not
// safe for concurrent use.
type Service struct {
	cfg      Config
	rand     *rand.Rand
	faults   Faults
	counts   [calls]Count
	writes   bucket
	reads    bucket
	revision uint64                    // counts the writes to entries; never goes back
	entries  map[string]platform.Entry // deleted ones too, so that versions never go back
	log      []change                  // ascending revisions; holds the last change of each path
	leases   map[string]lease
	lines    map[string]*line // the list of instances by ID
}

// New makes an empty service. r decides the faults that are left to chance.
func New(cfg Config, r *rand.Rand) (*Service, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Service{
		cfg:     cfg,
		rand:    r,
		writes:  bucket{rate: cfg.Writes, tokens: cfg.Writes},
		reads:   bucket{rate: cfg.Reads, tokens: cfg.Reads},
		entries: make(map[string]platform.Entry),
		leases:  make(map[string]lease),
		lines:   make(map[string]*line),
	}, nil
}

// Revision returns the number of writes to entries so far.
func (s *Service) Revision() uint64 { return s.revision }

// Get reads one path.
func (s *Service) Get(path string) (platform.Entry, error) {
	if err := platform.CheckPath("Get", path); err != nil {
		return platform.Entry{}, err
	}
	e, ok := s.entries[path]
	if !ok || e.Deleted {
		return platform.Entry{}, &platform.NotFoundError{Path: path}
	}
	return e, nil
}

// List returns the entries under prefix by path, and the revision.
func (s *Service) List(prefix string) ([]platform.Entry, uint64) {
	var entries []platform.Entry
	for path, e := range s.entries {
		if !e.Deleted && strings.HasPrefix(path, prefix) {
			entries = append(entries, e)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Path < entries[j].Path })
	return entries, s.revision
}

// Swap writes value if the path is at version; 0 stands for never written.
func (s *Service) Swap(path string, version uint64, value []byte) (platform.Entry, error) {
	if err := platform.CheckValue(path, value); err != nil {
		return platform.Entry{}, err
	}
	return s.write("Swap", path, version, platform.Entry{Value: bytes.Clone(value)})
}

// Delete removes a path if it is at version. It keeps its version.
func (s *Service) Delete(path string, version uint64) (platform.Entry, error) {
	if _, err := s.Get(path); err != nil {
		return platform.Entry{}, err
	}
	return s.write("Delete", path, version, platform.Entry{Deleted: true})
}

func (s *Service) write(call, path string, version uint64, e platform.Entry) (platform.Entry, error) {
	if err := platform.CheckPath(call, path); err != nil {
		return platform.Entry{}, err
	}
	now := s.entries[path]
	if now.Version != version {
		now.Path = path
		return platform.Entry{}, &platform.ConflictError{Path: path, Want: version, Now: now}
	}
	s.revision++
	e.Path = path
	e.Version = version + 1
	e.Revision = s.revision
	s.entries[path] = e
	s.record(path)
	return e, nil
}

// change says that a path was written at a revision.
type change struct {
	revision uint64
	path     string
}

// logSlack is the number of outdated changes that the log may hold.
const logSlack = 1024

func (s *Service) record(path string) {
	s.log = append(s.log, change{revision: s.revision, path: path})
	if len(s.log) <= 2*len(s.entries)+logSlack {
		return
	}
	kept := s.log[:0]
	for _, c := range s.log {
		if s.current(c) {
			kept = append(kept, c)
		}
	}
	s.log = kept
}

func (s *Service) current(c change) bool { return s.entries[c.path].Revision == c.revision }

// Changes returns the entries under prefix that were written past a revision,
// deleted ones too, each as it is now, in the order of their revisions; and the
// revision to ask from next.
func (s *Service) Changes(prefix string, after uint64) ([]platform.Entry, uint64) {
	var entries []platform.Entry
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].revision > after })
	for _, c := range s.log[first:] {
		if s.current(c) && strings.HasPrefix(c.path, prefix) {
			entries = append(entries, s.entries[c.path])
		}
	}
	return entries, max(after, s.revision)
}
