// Package replica holds an instance's copy of the operators' documents, and computes the difference
// between two copies. It does no I/O.
package replica

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/pkg/settings"
)

// BucketCount is the number of buckets that paths are hashed into.
const BucketCount = 256

// Buckets holds one hash for each bucket, over the paths and versions in it.
type Buckets [BucketCount]uint64

// Version is the version of a path that an instance holds.
type Version struct {
	Path    string
	Version uint64
}

// Set is one copy of the documents. It is not safe for concurrent use.
type Set struct {
	checks  *invariant.Counter
	docs    [BucketCount]map[string]settings.Document // by path; versions never decrease
	hashes  Buckets                                   // always match docs; the sum over a bucket's documents
	root    uint64                                    // the sum of hashes
	count   int                                       // number of documents, including deleted ones
	applied uint64                                    // number of documents applied so far; never decreases
}

// New returns an empty set that counts its checks in c, which may be nil.
func New(c *invariant.Counter) *Set {
	s := &Set{checks: c}
	for i := range s.docs {
		s.docs[i] = make(map[string]settings.Document)
	}
	return s
}

// Apply stores a document if it is newer than the one held, and reports whether it did. The
// document's body must not be changed afterwards.
func (s *Set) Apply(doc settings.Document) bool {
	held, ok := s.Get(doc.Path)
	if doc.Version > held.Version {
		s.put(doc, held)
		return true
	}
	if ok && doc.Version == held.Version {
		s.checks.Check(invariant.ConfigForward, sameContent(doc, held), func() string {
			return fmt.Sprintf("%s has two bodies at version %d", doc.Path, doc.Version)
		})
	}
	return false
}

func sameContent(a, b settings.Document) bool {
	return a.Deleted == b.Deleted && bytes.Equal(a.Body, b.Body)
}

// put replaces the document held, whose version is 0 if there is none.
func (s *Set) put(doc, held settings.Document) {
	s.checks.Check(invariant.ConfigForward, doc.Version > held.Version, func() string {
		return fmt.Sprintf("%s goes from version %d to %d", doc.Path, held.Version, doc.Version)
	})
	b := Bucket(doc.Path)
	delta := hash(doc)
	if held.Version > 0 {
		delta -= hash(held)
	} else {
		s.count++
	}
	s.docs[b][doc.Path] = doc
	s.hashes[b] += delta
	s.root += delta
	s.applied++
}

// Bucket returns the bucket of a path.
func Bucket(path string) int { return int(xxhash.Sum64String(path) % BucketCount) }

func hash(doc settings.Document) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(0)
	var version [8]byte
	binary.BigEndian.PutUint64(version[:], doc.Version)
	_, _ = d.Write(version[:]) // never fails
	_, _ = d.WriteString(doc.Path)
	return d.Sum64()
}

// Get returns the document at path. A deleted document is returned with Deleted set.
func (s *Set) Get(path string) (settings.Document, bool) {
	doc, ok := s.docs[Bucket(path)][path]
	return doc, ok
}

// Len returns the number of documents held, including deleted ones.
func (s *Set) Len() int { return s.count }

// Applied returns how many documents were applied so far. A set with the same count as before
// hasn't changed.
func (s *Set) Applied() uint64 { return s.applied }

// Documents returns all documents sorted by path, including deleted ones.
func (s *Set) Documents() []settings.Document {
	docs := make([]settings.Document, 0, s.count)
	for _, bucket := range s.docs {
		for _, doc := range bucket {
			docs = append(docs, doc)
		}
	}
	sortDocuments(docs)
	return docs
}

func sortDocuments(docs []settings.Document) {
	sort.Slice(docs, func(i, j int) bool { return docs[i].Path < docs[j].Path })
}
