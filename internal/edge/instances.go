package edge

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/neighbor"
	"github.com/firlever/firlever/internal/quota"
)

// instancePrefix is the prefix of the store keys under which instances register. A key exists
// as long as its instance's lease.
const instancePrefix = "firlever/instances/"

// record is what an instance registers in the store.
type record struct {
	Callers string `json:"callers"` // address for requests, IP:port
	Peers   string `json:"peers"`   // address for other instances, IP:port
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	Leaving bool   `json:"leaving"` // it is stopping, and takes no new callers

	HandOffs    string `json:"handoffs,omitempty"`    // address for requests of other instances, IP:port; "" if it takes none
	Partitioned bool   `json:"partitioned,omitempty"` // it reaches no target itself
	Change      int    `json:"change,omitempty"`      // number of the record within the run; 0 if its owner has not written it
	Unconfirmed bool   `json:"unconfirmed,omitempty"` // another instance could not reach the owner, which writes the record anew if it lives

	Cores float64 `json:"cores"` // processor cores of its machine
	Link  float64 `json:"link"`  // network link of its machine, in Mbit/s
	Run   int64   `json:"run"`   // start of its process, in Unix nanoseconds; distinguishes runs
}

// neighborRecord returns what identifies the record.
func (r record) neighborRecord() neighbor.Record {
	return neighbor.Record{Run: r.Run, Change: r.Change, Unconfirmed: r.Unconfirmed}
}

func decodeRecord(value []byte) (record, error) {
	var r record
	return r, errors.Annotate(json.Unmarshal(value, &r), "instance record")
}

// instances is the cached view of all registered instances. It is safe for concurrent use.
type instances struct {
	mu      sync.Mutex
	records map[string]record // by instance; guarded by mu

	// Instances that could not be reached from here and have not written their record since; guarded by mu.
	unreachable map[string]bool

	// Instances that are not leaving, and the relays of each region. The lists are built when they
	// are needed after records have changed: look-ups are a hundred times as frequent as changes,
	// and many changes come at once when the whole system starts. Guarded by mu.
	outdated bool
	known    recordLists
	reaching recordLists // known ones that reach targets and can be reached, as far as is known
	trees    map[string]relayTree
}

// recordLists holds records sorted by their callers' addresses.
type recordLists struct {
	byDomain map[string][]record
	byRegion map[string][]record
	all      []record
}

func newRecordLists() recordLists {
	return recordLists{byDomain: make(map[string][]record), byRegion: make(map[string][]record)}
}

func (l *recordLists) add(r record) {
	l.byDomain[r.Domain] = append(l.byDomain[r.Domain], r)
	l.byRegion[r.Region] = append(l.byRegion[r.Region], r)
	l.all = append(l.all, r)
}

// near returns the instances of a failure domain; those of the region if the domain has fewer than
// two, as one may fail; or all if the region has none.
func (l *recordLists) near(region, domain string) []record {
	list := l.byDomain[domain]
	if len(list) < minAddresses {
		list = l.byRegion[region]
	}
	if len(list) == 0 {
		list = l.all
	}
	return list
}

func (i *instances) put(name string, r record) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.records == nil {
		i.records = make(map[string]record)
	}
	i.records[name] = r
	delete(i.unreachable, name)
	i.outdated = true
}

// setUnreachable replaces the instances that can't be reached from here. Those that have written another
// record since they were checked are left out.
func (i *instances) setUnreachable(list []neighbor.Unreachable) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(list) == 0 && len(i.unreachable) == 0 {
		return
	}
	i.unreachable = make(map[string]bool)
	for _, u := range list {
		if i.records[u.Name].neighborRecord() == u.Record {
			i.unreachable[u.Name] = true
		}
	}
	i.outdated = true
}

// peers returns the records of the instances that are not leaving and have an address for peers, by name.
func (i *instances) peers() map[string]record {
	i.mu.Lock()
	defer i.mu.Unlock()
	all := make(map[string]record, len(i.records))
	for name, r := range i.records {
		if !r.Leaving && r.Peers != "" {
			all[name] = r
		}
	}
	return all
}

func (i *instances) remove(name string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.records, name)
	delete(i.unreachable, name)
	i.outdated = true
}

// updateLists builds the sorted lists anew if records have changed. i.mu is held.
func (i *instances) updateLists() {
	if !i.outdated {
		return
	}
	i.outdated = false
	i.known, i.reaching = newRecordLists(), newRecordLists()
	ranked := make(map[string][]relayCandidate)
	named := make([]string, 0, len(i.records))
	for name, r := range i.records {
		if r.Leaving {
			continue
		}
		named = append(named, name)
		if r.Peers != "" {
			ranked[r.Region] = append(ranked[r.Region], relayCandidate{name: name, domain: r.Domain, cores: r.Cores, peers: r.Peers})
		}
	}
	slices.SortFunc(named, func(a, b string) int { return cmp.Compare(i.records[a].Callers, i.records[b].Callers) })
	i.trees = make(map[string]relayTree)
	for region, list := range ranked {
		slices.SortFunc(list, relayCandidate.compare)
		i.trees[region] = newRelayTree(list)
	}
	for _, name := range named {
		r := i.records[name]
		i.known.add(r)
		if !r.Partitioned && !r.Unconfirmed && !i.unreachable[name] {
			i.reaching.add(r)
		}
	}
}

func (i *instances) names() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Collect(maps.Keys(i.records))
}

// relays returns the relays of a region.
func (i *instances) relays(region string) relayTree {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.updateLists()
	return i.trees[region]
}

// members returns all known instances and self, as the members among which tokens are divided.
func (i *instances) members(name string, self record) []quota.Member {
	i.mu.Lock()
	defer i.mu.Unlock()
	all := maps.Clone(i.records)
	if all == nil {
		all = make(map[string]record)
	}
	all[name] = self
	cores, link := largest(slices.Collect(maps.Values(all)))
	list := make([]quota.Member, 0, len(all))
	for name, r := range all {
		list = append(list, quota.Member{Name: name, Domain: r.Domain, Region: r.Region, Address: r.Peers, Size: r.size(cores, link)})
	}
	return list
}

// regionPeers returns the peer addresses of a region's instances except self.
func (i *instances) regionPeers(region, self string) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	var list []string
	for name, r := range i.records {
		if name != self && r.Peers != "" && r.Region == region {
			list = append(list, r.Peers)
		}
	}
	slices.Sort(list)
	return list
}

// otherPeers returns the peer addresses of all instances except self, those of a region
// first.
func (i *instances) otherPeers(region, self string) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	var near, far []string
	for name, r := range i.records {
		switch {
		case name == self || r.Peers == "":
		case r.Region == region:
			near = append(near, r.Peers)
		default:
			far = append(far, r.Peers)
		}
	}
	slices.Sort(near)
	slices.Sort(far)
	return append(near, far...)
}

// near returns addresses for a caller in a failure domain, limit at most: of instances near it that
// reach targets and can be reached, or of any if none does. Leaving instances are excluded.
func (i *instances) near(region, domain, caller string, limit int) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.updateLists()
	list := i.reaching.near(region, domain)
	if len(list) == 0 {
		list = i.known.near(region, domain)
	}
	return chooseAddresses(list, caller, limit)
}
