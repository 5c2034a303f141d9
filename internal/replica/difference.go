package replica

import (
	"sort"

	"github.com/firlever/firlever/pkg/settings"
)

// Root returns a hash over every path and its version, independent of the order in which they were
// added. Two sets with equal roots have nothing to exchange.
func (s *Set) Root() uint64 { return s.root }

// Buckets returns the hash of each bucket.
func (s *Set) Buckets() Buckets { return s.hashes }

// Differ returns the buckets whose hashes differ from those of a remote set, ascending.
func (s *Set) Differ(remote Buckets) []int {
	var differ []int
	for i, h := range s.hashes {
		if h != remote[i] {
			differ = append(differ, i)
		}
	}
	return differ
}

// Digest returns the versions held in a bucket, sorted by path; nil if there is no such bucket.
func (s *Set) Digest(bucket int) []Version {
	if bucket < 0 || bucket >= BucketCount {
		return nil
	}
	versions := make([]Version, 0, len(s.docs[bucket]))
	for path, doc := range s.docs[bucket] {
		versions = append(versions, Version{Path: path, Version: doc.Version})
	}
	sort.Slice(versions, func(i, j int) bool { return versions[i].Path < versions[j].Path })
	return versions
}

// Missing returns the versions of a remote set that are newer than those in this set. These are to
// be requested.
func (s *Set) Missing(remote []Version) []Version {
	var missing []Version
	for _, v := range remote {
		held, _ := s.Get(v.Path)
		if v.Version > held.Version {
			missing = append(missing, v)
		}
	}
	return missing
}

// Newer returns the documents of a bucket that are newer than in a remote set's digest of it or
// missing there, sorted by path. These are to be sent.
func (s *Set) Newer(bucket int, than []Version) []settings.Document {
	if bucket < 0 || bucket >= BucketCount {
		return nil
	}
	remote := make(map[string]uint64, len(than))
	for _, v := range than {
		remote[v.Path] = v.Version
	}
	var newer []settings.Document
	for path, doc := range s.docs[bucket] {
		if doc.Version > remote[path] {
			newer = append(newer, doc)
		}
	}
	sortDocuments(newer)
	return newer
}
