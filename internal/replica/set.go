// Package replica keeps an instance's copy of the operators' documents, and
// finds what two copies have to tell each other. It does no input or output.
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

// BucketCount is the number of buckets that paths are spread over by their hash.
const BucketCount = 256

// Buckets holds one hash for each bucket, over the paths and versions in it.
type Buckets [BucketCount]uint64

// Version says which version of a path an instance holds.
type Version struct {
	Path    string
	Version uint64
}

// Set is one copy of the documents. It is not safe for concurrent use.
type Set struct {
	checks  *invariant.Counter
	docs    [BucketCount]map[string]settings.Document // by path; versions never go back
	hashes  Buckets                                   // always of docs; the sum over a bucket's documents
	root    uint64                                    // the sum of hashes
	count   int                                       // of documents, deleted ones too
	applied uint64                                    // documents taken so far; never goes back
}

// New makes an empty set that counts its checks in c, which may be nil.
func New(c *invariant.Counter) *Set {
	s := &Set{checks: c}
	for i := range s.docs {
		s.docs[i] = make(map[string]settings.Document)
	}
	return s
}

// Apply takes a document if it is newer than the one held, and reports whether
// it did. Its body must not be changed afterwards.
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

// put stores a document in place of the one held, whose version is 0 if none is.
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

// Get returns the document at path. A deleted one is returned as such.
func (s *Set) Get(path string) (settings.Document, bool) {
	doc, ok := s.docs[Bucket(path)][path]
	return doc, ok
}

// Len returns the number of documents held, deleted ones too.
func (s *Set) Len() int { return s.count }

// Applied returns how many documents were taken so far: a set with the same
// figure as before hasn't changed.
func (s *Set) Applied() uint64 { return s.applied }

// Documents returns every document by path, deleted ones too.
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
