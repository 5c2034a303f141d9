package demo

import (
	"cmp"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"github.com/firlever/firlever/examples"
	"github.com/firlever/firlever/internal/files"
	"github.com/firlever/firlever/pkg/settings"
)

// Load reads a directory of documents. If dir doesn't exist but its last element
// is the name of an example, the copy embedded in the program is read.
func Load(dir string) ([]settings.Document, error) {
	fsys := os.DirFS(dir)
	if _, err := os.Stat(dir); err != nil {
		embedded, subErr := examples.Dir(filepath.Base(dir))
		if subErr != nil {
			return nil, errors.Annotate(err, "demo.Load")
		}
		if _, statErr := fs.Stat(embedded, "."); statErr != nil {
			return nil, errors.Annotate(err, "demo.Load")
		}
		fsys = embedded
	}
	docs, err := files.LoadDir(fsys)
	return docs, errors.Annotate(err, "demo.Load")
}

// rewrite replaces the addresses of targets in the documents, by old address, to
// let several runs share one machine.
func rewrite(docs []settings.Document, addresses map[string]string) ([]settings.Document, error) {
	out := make([]settings.Document, 0, len(docs))
	for _, doc := range docs {
		path, err := settings.ParsePath(doc.Path)
		if err != nil {
			return nil, errors.Annotate(err, "demo.rewrite")
		}
		if path.Kind == settings.KindService {
			if doc.Body, err = rewriteService(doc.Body, addresses); err != nil {
				return nil, errors.Annotatef(err, "demo.rewrite %s", doc.Path)
			}
		}
		out = append(out, doc)
	}
	return out, nil
}

func rewriteService(body []byte, addresses map[string]string) ([]byte, error) {
	var s settings.Service
	if err := yaml.Unmarshal(body, &s); err != nil {
		return nil, errors.Trace(err)
	}
	for _, site := range s.Places {
		for i, t := range site.Targets {
			site.Targets[i].Address = cmp.Or(addresses[t.Address], t.Address)
		}
	}
	return yaml.Marshal(s)
}

// oncePaths returns, for each service with a rule that declares POST requests
// non-idempotent, the path prefix of the first such rule.
func oncePaths(docs []settings.Document) (map[settings.ServiceID]string, error) {
	paths := make(map[settings.ServiceID]string)
	for _, doc := range docs {
		path, err := settings.ParsePath(doc.Path)
		if err != nil {
			return nil, errors.Annotate(err, "demo.oncePaths")
		}
		if path.Kind != settings.KindService {
			continue
		}
		var s settings.Service
		if err := yaml.Unmarshal(doc.Body, &s); err != nil {
			return nil, errors.Annotatef(err, "demo.oncePaths %s", doc.Path)
		}
		if p, ok := oncePath(s); ok {
			paths[settings.ServiceID{Team: path.Team, Name: path.Name}] = p
		}
	}
	return paths, nil
}

// distribute assigns n instances to the places in turn, in descending order of
// the places' limits.
func distribute(s *settings.Snapshot, n int) []placement {
	places := slices.Clone(s.Places())
	slices.SortStableFunc(places, func(a, b string) int {
		pa, _ := s.Place(a)
		pb, _ := s.Place(b)
		return cmp.Compare(pb.Limit, pa.Limit)
	})
	placements := make([]placement, 0, n)
	for i := range n {
		place := places[i%len(places)]
		placements = append(placements, placement{id: fmt.Sprintf("%s-%d", place, i/len(places)+1), place: place})
	}
	return placements
}

// placement is the ID of an instance and the place in which it runs.
type placement struct{ id, place string }

// homeAddresses returns an address for the callers of each place: the first host
// address of the place's first block.
func homeAddresses(s *settings.Snapshot) (map[string]string, error) {
	addresses := make(map[string]string)
	for _, b := range s.Blocks() {
		if _, ok := addresses[b.Place]; ok {
			continue
		}
		a, err := firstHost(b.Prefix)
		if err != nil {
			return nil, errors.Annotate(err, "demo.homeAddresses")
		}
		addresses[b.Place] = a
	}
	return addresses, nil
}
