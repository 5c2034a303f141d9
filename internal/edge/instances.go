package edge

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/juju/errors"

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

	Cores float64 `json:"cores"` // processor cores of its machine
	Link  float64 `json:"link"`  // network link of its machine, in Mbit/s
	Run   int64   `json:"run"`   // start of its process, in Unix nanoseconds; distinguishes runs
}

func decodeRecord(value []byte) (record, error) {
	var r record
	return r, errors.Annotate(json.Unmarshal(value, &r), "instance record")
}

// instances is the cached view of all registered instances. It is safe for concurrent use.
type instances struct {
	mu      sync.Mutex
	records map[string]record // by instance; guarded by mu

	// Instances that are not leaving, sorted by address, and the relays of each region, the first
	// ranked first. The lists are built when they are needed after records have changed: look-ups
	// are a hundred times as frequent as changes, and many changes come at once when the whole
	// system starts. Guarded by mu.
	outdated bool
	byDomain map[string][]record
	byRegion map[string][]record
	all      []record
	ranked   map[string][]relayCandidate
}

func (i *instances) put(name string, r record) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.records == nil {
		i.records = make(map[string]record)
	}
	i.records[name] = r
	i.outdated = true
}

func (i *instances) remove(name string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.records, name)
	i.outdated = true
}

// updateLists builds the sorted lists anew if records have changed. i.mu is held.
func (i *instances) updateLists() {
	if !i.outdated {
		return
	}
	i.outdated = false
	i.byDomain, i.byRegion, i.all = make(map[string][]record), make(map[string][]record), nil
	i.ranked = make(map[string][]relayCandidate)
	for name, r := range i.records {
		if !r.Leaving && r.Peers != "" {
			i.ranked[r.Region] = append(i.ranked[r.Region], relayCandidate{name: name, cores: r.Cores, peers: r.Peers})
		}
	}
	for _, list := range i.ranked {
		slices.SortFunc(list, relayCandidate.compare)
	}
	records := slices.SortedFunc(maps.Values(i.records), func(a, b record) int { return cmp.Compare(a.Callers, b.Callers) })
	for _, r := range records {
		if r.Leaving {
			continue
		}
		i.byDomain[r.Domain] = append(i.byDomain[r.Domain], r)
		i.byRegion[r.Region] = append(i.byRegion[r.Region], r)
		i.all = append(i.all, r)
	}
}

func (i *instances) names() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Collect(maps.Keys(i.records))
}

// relays returns the peer addresses of the instances that others of a region follow: those that
// rank before self, limit at most. Relaying takes resources, so the largest machines rank first,
// then names decide. Leaving instances are excluded.
func (i *instances) relays(region string, self relayCandidate, limit int) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.updateLists()
	var addresses []string
	for _, m := range i.ranked[region] {
		if len(addresses) == limit || m.compare(self) >= 0 {
			break
		}
		addresses = append(addresses, m.peers)
	}
	return addresses
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

// relayCandidate is an instance that may act as relay of its region.
type relayCandidate struct {
	name  string
	cores float64
	peers string
}

// compare ranks the largest machine first, then by name.
func (m relayCandidate) compare(o relayCandidate) int {
	return cmp.Or(cmp.Compare(o.cores, m.cores), cmp.Compare(m.name, o.name))
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

// near returns addresses for a caller in a failure domain, limit at most: of instances in the
// domain; of those in the region if the domain has fewer than two, as one may fail; or of all if
// the region has none. Leaving instances are excluded.
func (i *instances) near(region, domain, caller string, limit int) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.updateLists()
	list := i.byDomain[domain]
	if len(list) < minAddresses {
		list = i.byRegion[region]
	}
	if len(list) == 0 {
		list = i.all
	}
	return chooseAddresses(list, caller, limit)
}
