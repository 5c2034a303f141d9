package edge

import (
	"cmp"
	"math"
	"slices"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/routes"
)

// choosePeers returns the peers to ask for a request, limit at most.
func (h *handOffs) choosePeers(p *pendingRequest, limit int) []handOffPeer {
	s := &h.node.cfg.Settings
	now := boottime.Now()
	self := record{Peers: h.node.peerAddress, Region: s.Region}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.node.instances.handOffPeers(self, p.info.ID, p.regions(), limit, func(peer string) bool { return now.Before(h.avoidUntil[peer]) })
}

// handOffPeer is a peer that requests may be handed off to.
type handOffPeer struct {
	name    string // its address for peers
	address string
}

// handOffPeers returns the peers that reach targets and may take a request, limit at most: first those
// of the region, in an order by which each gets a part of the requests in proportion to the size of
// its machine. Where regions are set, only peers there may.
func (i *instances) handOffPeers(self record, request string, regions routes.Regions, limit int, avoid func(peer string) bool) []handOffPeer {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.updateLists()
	may := func(r *record) bool {
		return r.Peers != self.Peers && r.HandOffs != "" && regions.Allows(r.Region) && !avoid(r.Peers)
	}
	list := firstPeers(i.reaching.byRegion[self.Region], request, limit, may)
	if len(list) < limit {
		far := firstPeers(i.reaching.all, request, limit, func(r *record) bool { return r.Region != self.Region && may(r) })
		list = append(list, far[:min(limit-len(list), len(far))]...)
	}
	return list
}

// firstPeers returns those of the records that rank first for a request, limit at most.
func firstPeers(records []record, request string, limit int, may func(r *record) bool) []handOffPeer {
	type ranked struct {
		handOffPeer
		rank float64
	}
	cores, link := largest(records)
	var first []ranked
	for k := range records {
		r := &records[k]
		if !may(r) {
			continue
		}
		rank := -math.Log(hashFraction(request, r.Peers)) / r.size(cores, link)
		at, _ := slices.BinarySearchFunc(first, rank, func(a ranked, rank float64) int { return cmp.Compare(a.rank, rank) })
		if at < limit {
			first = slices.Insert(first, at, ranked{handOffPeer{r.Peers, r.HandOffs}, rank})
			first = first[:min(limit, len(first))]
		}
	}
	peers := make([]handOffPeer, 0, len(first))
	for _, f := range first {
		peers = append(peers, f.handOffPeer)
	}
	return peers
}
