package core_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/pkg/settings"
)

// store simulates the platform: documents, rosters and a lagging list of instances.
type store struct {
	w       *simulation
	down    bool
	docs    map[string][]accepted    // all versions, by path
	paths   []string                 // keys of docs, in the order of the first write
	rosters map[int]owner.Roster     // by place
	listed  map[string]*registration // by instance
}

// accepted is one version of a document.
type accepted struct {
	at     time.Duration
	doc    settings.Document
	parsed *settings.Parsed
}

// registration is an instance's entry in the list.
type registration struct {
	lines []registeredLine // registered incarnations, oldest first
	last  time.Duration
}

type registeredLine struct {
	at          time.Duration
	incarnation uint64
}

// Lag of the list.
const (
	showLag = 500 * time.Millisecond
	goneLag = 3500 * time.Millisecond // an entry that is not renewed is removed after this; less than lag
)

func newStore(w *simulation) *store {
	return &store{
		w: w, docs: make(map[string][]accepted),
		rosters: make(map[int]owner.Roster), listed: make(map[string]*registration),
	}
}

// put writes a document if its path is at the given version.
func (s *store) put(path string, version uint64, body string) bool {
	if uint64(len(s.docs[path])) != version {
		return false
	}
	doc := settings.Document{Path: path, Version: version + 1, Body: []byte(body), Deleted: body == ""}
	if version == 0 {
		s.paths = append(s.paths, path)
	}
	parsed, err := settings.Parse(doc)
	if err != nil {
		s.w.check.failf("%s: %v", path, err)
		return false
	}
	s.docs[path] = append(s.docs[path], accepted{at: s.w.now, doc: doc, parsed: parsed})
	s.w.tracef("platform: %s is at version %d: %s", path, doc.Version, strings.ReplaceAll(body, "\n", " "))
	return true
}

// version returns the newest version of a path.
func (s *store) version(path string) uint64 { return uint64(len(s.docs[path])) }

// all returns the newest documents.
func (s *store) all() []settings.Document {
	docs := make([]settings.Document, 0, len(s.paths))
	for _, path := range s.paths {
		docs = append(docs, s.docs[path][len(s.docs[path])-1].doc)
	}
	return docs
}

// parsed returns one version of a document.
func (s *store) parsed(path string, version uint64) *settings.Parsed {
	return s.docs[path][version-1].parsed
}

// swap replaces a roster by compare-and-swap.
func (s *store) swap(place int, next owner.Roster) bool {
	if s.rosters[place].Version+1 != next.Version {
		return false
	}
	s.rosters[place] = next
	s.w.tracef("platform: roster of place %d is %+v", place, next)
	return true
}

func (s *store) register(name string, incarnation uint64) {
	l := s.listed[name]
	if l == nil || (s.w.now > l.last+goneLag && !s.w.listProves) {
		l = &registration{}
		s.listed[name] = l
	}
	l.last = s.w.now
	if n := len(l.lines); n == 0 || l.lines[n-1].incarnation < incarnation {
		l.lines = append(l.lines, registeredLine{at: s.w.now + showLag, incarnation: incarnation})
	}
}

// list returns the list's present contents for one place.
func (s *store) list(place int) []docstore.Instance {
	var list []docstore.Instance
	for _, name := range s.w.names {
		l := s.listed[name]
		if l == nil || s.w.home[name] != place {
			continue
		}
		if s.w.now > l.last+goneLag && (!s.w.listProves || s.w.live[name] == nil) {
			continue
		}
		shown := uint64(0)
		for _, line := range l.lines {
			if line.at <= s.w.now {
				shown = line.incarnation
			}
		}
		if shown > 0 {
			list = append(list, docstore.Instance{ID: name, Incarnation: shown})
		}
	}
	return list
}

// call calls the platform from a process. serve runs at the platform, and the function
// that it returns runs at the process. If the call or its answer is lost, failed runs at
// the process instead, which can't determine whether serve has run.
func (s *store) call(p *proc, serve func() func(), failed func()) {
	w := s.w
	lost := func() { w.after(500*time.Millisecond, func() { p.deliver(failed) }) }
	out := w.delay(p.place, endpointPlatform)
	if w.chance(0.03) {
		out += w.upTo(2 * time.Second)
	}
	w.after(out, func() {
		if s.down || w.links.cut[[2]int{p.place, endpointPlatform}] > 0 || w.links.apart[[2]string{p.name, ""}] > 0 {
			lost()
			return
		}
		back := serve()
		if w.links.cut[[2]int{endpointPlatform, p.place}] > 0 || w.chance(0.03) {
			lost()
			return
		}
		w.after(w.delay(endpointPlatform, p.place), func() { p.deliver(back) })
	})
}

// Services of every run.
const (
	serviceRead  = "read"  // idempotent requests
	serviceWrite = "write" // requests with a key
	team         = "t"
	timeout      = 2 * time.Second // of both services
)

func serviceID(name string) settings.ServiceID { return settings.ServiceID{Team: team, Name: name} }

func servicePath(name string) string { return settings.ServicePath(serviceID(name)) }

// site is one service's configuration at one place.
type site struct {
	limit int
	slots []int
}

// plan is one version of a service's document.
type plan struct {
	shift int
	sites []site // by place
}

func (w *simulation) randomPlan(most [][]int) plan {
	p := plan{shift: 1 + w.rng.IntN(12)}
	for i := range w.places {
		s, all := site{}, 0
		for _, m := range most[i] {
			if len(s.slots) > 0 && w.chance(0.15) {
				continue
			}
			n := 1 + w.rng.IntN(m)
			s.slots, all = append(s.slots, n), all+n
		}
		s.limit = all - w.rng.IntN(all+1)/2
		p.sites = append(p.sites, s)
	}
	return p
}

// body formats the plan as a service document.
func (p plan) body(service string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "class: interactive\ntimeout: %s\nshift: %d\nplaces:\n", timeout, p.shift)
	for i, s := range p.sites {
		fmt.Fprintf(&b, "  place-%d:\n    limit: %d\n    targets:\n", i, s.limit)
		for j, n := range s.slots {
			name := targetName(service, i, j)
			fmt.Fprintf(&b, "    - {name: %s, address: \"%s\", slots: %d, connections: 9}\n", name, targetAddress(service, i, j), n)
		}
	}
	return b.String()
}

func targetName(service string, place, i int) string {
	return fmt.Sprintf("%s-%d-%d", service, place, i)
}

func targetAddress(service string, place, i int) string {
	return fmt.Sprintf("127.%d.%d.%d:9000", 1+len(service)%2, place, 1+i)
}

func placeBody(place, limit int) string {
	return fmt.Sprintf("region: %s\nlimit: %d\n", region(place), limit)
}

// firstDocuments writes the initial documents and creates the targets.
func (w *simulation) firstDocuments() {
	blocks := "blocks:\n"
	for i, name := range w.places {
		w.store.put(settings.PlacePath(name), 0, placeBody(i, 3+w.rng.IntN(10)))
		blocks += fmt.Sprintf("- {prefix: 10.%d.0.0/16, place: %s}\n", i, name)
	}
	w.store.put(settings.BlocksPath("all"), 0, blocks)
	for _, service := range []string{serviceRead, serviceWrite} {
		most := make([][]int, len(w.places))
		for i := range w.places {
			for j := range 1 + w.rng.IntN(3) {
				w.addTarget(service, i, j)
				most[i] = append(most[i], 5)
			}
		}
		w.store.put(servicePath(service), 0, w.randomPlan(most).body(service))
	}
}

func (w *simulation) addTarget(service string, place, i int) {
	t := &target{w: w, key: keyOf(service, targetName(service, place, i)), place: place}
	w.targets[targetAddress(service, place, i)] = t
	w.sortedTargets = append(w.sortedTargets, t)
}

// drainedSince returns since when the newest documents drain a target.
func (s *store) drainedSince(t *target) (time.Duration, bool) {
	for _, path := range s.paths {
		if !strings.HasPrefix(path, settings.DrainsPrefix) {
			continue
		}
		versions := s.docs[path]
		newest := versions[len(versions)-1]
		if newest.doc.Deleted {
			continue
		}
		body := string(newest.doc.Body)
		if slices.Contains(t.drains(), body) {
			return newest.at, true
		}
	}
	return 0, false
}
