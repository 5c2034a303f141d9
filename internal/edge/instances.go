package edge

import (
	"encoding/json"
	"slices"
	"sync"

	"github.com/juju/errors"
)

// instancePrefix begins the keys of the store under which instances register. A
// key lives as long as the lease of its instance.
const instancePrefix = "firlever/instances/"

// record is what an instance writes of itself into the store.
type record struct {
	Callers string `json:"callers"` // address for requests, IP:port
	Peers   string `json:"peers"`   // address for other instances, IP:port
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	Leaving bool   `json:"leaving"` // it stops, and takes no new callers
}

func decodeRecord(value []byte) (record, error) {
	var r record
	return r, errors.Annotate(json.Unmarshal(value, &r), "instance record")
}

// instances holds what is known of all instances. It is safe for concurrent use.
type instances struct {
	mu      sync.RWMutex
	records map[string]record // by instance; guarded by mu
}

func (i *instances) put(name string, r record) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.records == nil {
		i.records = make(map[string]record)
	}
	i.records[name] = r
}

func (i *instances) remove(name string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.records, name)
}

func (i *instances) names() []string {
	i.mu.RLock()
	defer i.mu.RUnlock()
	names := make([]string, 0, len(i.records))
	for name := range i.records {
		names = append(names, name)
	}
	return names
}

// relay returns the peers' address of the instance that follows the store for its
// region: the first by name of those that don't leave. It is empty if that is self.
func (i *instances) relay(region, self string) string {
	i.mu.RLock()
	defer i.mu.RUnlock()
	first := self
	address := ""
	for name, r := range i.records {
		if r.Region == region && !r.Leaving && r.Peers != "" && name < first {
			first, address = name, r.Peers
		}
	}
	return address
}

// others returns the peers' addresses of all instances but self, those of a region
// first.
func (i *instances) others(region, self string) []string {
	i.mu.RLock()
	defer i.mu.RUnlock()
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

// near returns the addresses for callers of a failure domain: those of its own
// instances, or of its region's if it has none, or all. Instances that leave are
// named by none.
func (i *instances) near(region, domain string) []string {
	i.mu.RLock()
	defer i.mu.RUnlock()
	for _, fits := range []func(record) bool{
		func(r record) bool { return r.Domain == domain },
		func(r record) bool { return r.Region == region },
		func(record) bool { return true },
	} {
		if list := i.where(fits); len(list) > 0 {
			return list
		}
	}
	return nil
}

func (i *instances) where(fits func(record) bool) []string {
	var list []string
	for _, r := range i.records {
		if !r.Leaving && fits(r) {
			list = append(list, r.Callers)
		}
	}
	slices.Sort(list)
	return list
}
