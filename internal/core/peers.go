package core

// peerList holds the live peers, without this instance.
type peerList struct {
	all     []Peer // sorted by ID
	byID    map[string]Peer
	byPlace map[string][]Peer // in the order of all
}

func newPeerList(peers []Peer) peerList {
	l := peerList{all: peers, byID: make(map[string]Peer, len(peers)), byPlace: make(map[string][]Peer)}
	for _, p := range peers {
		l.byID[p.ID] = p
		l.byPlace[p.Place] = append(l.byPlace[p.Place], p)
	}
	return l
}

func (n *Node) peer(id string) (Peer, bool) {
	p, ok := n.peers.byID[id]
	return p, ok
}
