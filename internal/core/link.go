package core

// answerRate returns the limit in bytes/s for relaying f's answer; 0 for none.
func (n *Node) answerRate(f *inFlight) int64 {
	switch f.origin {
	case FromPeer:
		p, _ := n.peer(f.req.From)
		return n.linkShare(f, p.Place)
	case FromForward:
		return 0 // such answers are short: a key's answer that is long is not recorded
	default:
		return n.linkShare(f, f.home)
	}
}

// linkShare returns this instance's share, in bytes/s, of what bulk services may send
// from this place to another; 0 for no limit. It needs no communication between
// instances: half of the place's limit is split evenly, the other half by the slots of
// bulk targets that each instance owns, as most answers leave through their target's
// owner.
func (n *Node) linkShare(f *inFlight, to string) int64 {
	place, _ := n.snapshot.Place(n.cfg.Place)
	if to == n.cfg.Place || !f.service.Bulk() || place.Link == 0 {
		return 0
	}
	members := int64(max(len(n.owners.Roster().Members), 1))
	own, all := n.bulkSlots()
	if all == 0 {
		return max(place.Link/members, 1)
	}
	return max(place.Link/2/members+place.Link/2*own/all, 1)
}

// bulkSlots counts the slots of bulk services in this place: of the targets that this
// instance owns, and of all targets.
func (n *Node) bulkSlots() (own, all int64) {
	for _, id := range n.snapshot.Services() {
		service, _ := n.snapshot.Service(id)
		state, ok := n.services[id]
		if !ok || !service.Bulk() {
			continue
		}
		for _, key := range state.keys {
			limit := int64(state.limits[key])
			all += limit
			if n.owners.Owner(key) == n.cfg.Instance {
				own += limit
			}
		}
	}
	return own, all
}
