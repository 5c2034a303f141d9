package instance

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/member"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/internal/peer"
	"github.com/firlever/firlever/internal/wire"
	"github.com/firlever/firlever/platform"
)

// capacityInterval is the time between two packets that send this instance's free slots to
// the peers of its place.
const capacityInterval = 250 * time.Millisecond

// gossip runs the membership protocol on the peers' address, and what its packets carry
// besides: lease confirmations, releases, free slots, the hash of the documents.
type gossip struct {
	in           *Instance
	udp          *peer.UDP
	stop         context.CancelFunc
	done         sync.WaitGroup
	sentCapacity capacityRotation // used only by the goroutine of sendCapacities

	mu            sync.Mutex
	placePeers    map[string]bool      // IDs of the instances of this place; guarded by mu
	lookupExpiry  map[string]time.Time // while leaving: by peer, when the last cached look-up that names this instance expires; guarded by mu
	rosterVersion uint64               // roster version last passed to the member list; guarded by mu
}

func newGossip(in *Instance) (*gossip, error) {
	list, err := member.New(member.Config{Self: in.self(), Seeds: in.cfg.Join, Seed: in.cfg.Seed}, boottime.Now())
	if err != nil {
		return nil, err
	}
	open := in.cfg.Packet
	if open == nil {
		open = func(address string) (net.PacketConn, error) { return net.ListenPacket("udp", address) }
	}
	conn, err := open(in.cfg.Peers)
	if err != nil {
		return nil, &ListenError{Address: in.cfg.Peers, Err: err}
	}
	g := &gossip{in: in, placePeers: make(map[string]bool), lookupExpiry: make(map[string]time.Time)}
	g.udp = peer.NewUDP(conn, list, peer.Hooks{
		Received: g.receive, FreeSlots: g.receiveCapacity, Prepare: g.prepare, Changed: g.membersChanged,
	})
	return g, nil
}

func (g *gossip) start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	g.done.Go(func() {
		if err := g.udp.Run(ctx); err != nil {
			g.in.logError("membership", err)
		}
	})
	g.done.Go(func() { g.sendCapacities(ctx) })
}

func (g *gossip) close() {
	g.stop()
	g.done.Wait()
}

// receive processes what a packet carries besides membership.
func (g *gossip) receive(now time.Time, p *wire.Packet) {
	var m member.Member
	var ack member.Ack
	var ok bool
	g.udp.Do(func(_ time.Time, l *member.List) []member.Send {
		m, ok = l.Get(p.From)
		ack = l.Acked(p.From)
		return nil
	})
	if !ok || m.Incarnation != p.Incarnation {
		return
	}
	g.in.receiveEpoch(p)
	g.compareDocuments(p, m.Instance)
	g.confirmDocuments(p, ack)
	g.recordLookupExpiry(now, p)
	if m.Place == g.in.cfg.Place {
		g.in.noteNewerRoster(p.Roster, m.Instance)
		g.receiveFromPlace(p, ack)
	}
}

// compareDocuments compares a peer's documents with the local ones. If they are equal, the
// local ones are complete up to the same revision as the peer's.
func (g *gossip) compareDocuments(p *wire.Packet, from docstore.Instance) {
	root, complete := g.in.docs.Progress()
	remote := platform.NewRevision(p.Epoch, p.Complete)
	switch {
	case p.Root == root:
		if remote.After(complete) {
			g.in.docs.CompleteIfEqual(root, remote)
		}
	case !complete.IsZero() || !remote.IsZero():
		g.in.markDiverged(from)
	}
}

func (g *gossip) receiveFromPlace(p *wire.Packet, ack member.Ack) {
	if p.Kind == wire.Kind_KIND_ACK && p.Promise {
		g.in.dispatcher.Step(core.PeerAcked{Peer: p.From, Incarnation: p.Incarnation, Sent: ack.Promised, Roster: ack.Roster})
	}
	if p.Release == 0 {
		return
	}
	if r, err := peer.ReleaseOf(p); err == nil {
		g.in.dispatcher.Step(core.Released{Release: r})
	}
}

// receiveCapacity processes a packet that carries only free slots. A wrong count affects at
// most a choice of peer: the peer enforces its own count.
func (g *gossip) receiveCapacity(p *wire.Packet) {
	if !g.inPlace(p.From) {
		return
	}
	g.in.dispatcher.Step(core.FreeSlotsReceived{Peer: p.From, Services: peer.FreeSlotsOf(p)})
}

func (g *gossip) inPlace(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placePeers[id]
}

// prepare fills in a packet with the current state of the node. An ack makes a promise
// about the roster, so the node must allow it.
func (g *gossip) prepare(p, cause *wire.Packet) {
	g.in.setRestored(p)
	confirmedAt := g.in.docs.ConfirmedAt() // before the root, as it is then true of it
	root, complete := g.in.docs.Progress()
	p.Root, p.Complete, p.Epoch = root, complete.Count(), complete.Epoch()
	if p.Kind == wire.Kind_KIND_ACK {
		p.Confirmed = confirmedMillis(g.in.now(), confirmedAt)
	}
	inPlace := g.inPlace(p.To)
	g.in.dispatcher.WithNode(func(now time.Time, n *core.Node) {
		p.Roster = n.Roster().Version
		if p.Promise {
			p.Promise = cause != nil && n.MayAck(now, cause.From, cause.Incarnation, cause.Roster)
		}
		if inPlace {
			peer.SetRelease(p, n.Release())
		}
		if cause != nil && cause.Leaving && p.Kind == wire.Kind_KIND_ACK {
			p.Named = lookupMillis(now, n, cause.From)
		}
	})
}

// lookupMillis returns what an ack reports to a leaving instance: for how many
// milliseconds, rounded up and at least 2, callers may still use look-ups of this instance
// that name it. It is 0 if there are none.
func lookupMillis(now time.Time, n *core.Node, id string) uint32 {
	until, ok := n.LookupValidUntil(id)
	if !ok {
		return 0
	}
	return uint32(max(until.Sub(now), 0)/time.Millisecond) + 2 // rounded up, and one more
}

// recordLookupExpiry stores when a peer's look-ups that name this leaving instance expire.
func (g *gossip) recordLookupExpiry(now time.Time, p *wire.Packet) {
	if p.Named == 0 || p.Kind != wire.Kind_KIND_ACK || p.Target != "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lookupExpiry[p.From] = now.Add(time.Duration(p.Named) * time.Millisecond)
}

// lastLookupExpiry returns when the last look-up of a peer that names this leaving instance
// expires. It returns false if a live peer has not reported that yet.
func (g *gossip) lastLookupExpiry() (time.Time, bool) {
	var last time.Time
	members := g.Members()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range members {
		until, ok := g.lookupExpiry[m.ID]
		if !ok && (m.State == member.Alive || m.State == member.Suspect) {
			return time.Time{}, false
		}
		if until.After(last) {
			last = until
		}
	}
	return last, true
}

// membersChanged passes the current members to the node.
func (g *gossip) membersChanged(changes []member.Change) {
	for _, c := range changes {
		if c.Kind == member.Replaced {
			g.in.replace()
		}
	}
	members := g.Members()
	placePeers := make(map[string]bool)
	for _, m := range members {
		if m.Place == g.in.cfg.Place {
			placePeers[m.ID] = true
		}
	}
	g.mu.Lock()
	g.placePeers = placePeers
	g.mu.Unlock()
	g.in.dispatcher.Step(core.PeersChanged{Peers: peersOf(members)})
}

// setRoster passes the members of the roster to the member list: acks make promises to them
// alone.
func (g *gossip) setRoster(r owner.Roster) {
	g.mu.Lock()
	known := g.rosterVersion == r.Version
	g.rosterVersion = r.Version
	g.mu.Unlock()
	if known {
		return
	}
	names := make([]string, 0, len(r.Members))
	for _, m := range r.Members {
		names = append(names, m.Instance)
	}
	g.udp.Do(func(_ time.Time, l *member.List) []member.Send {
		l.SetRoster(r.Version, names)
		return nil
	})
}

// AddListed adds the platform's list of instances to the membership.
func (g *gossip) AddListed(list []docstore.Instance) {
	g.udp.Do(func(now time.Time, l *member.List) []member.Send {
		l.MergeListing(now, list)
		return nil
	})
}

// Members returns the known instances without this one.
func (g *gossip) Members() []member.Member {
	var members []member.Member
	g.udp.Do(func(_ time.Time, l *member.List) []member.Send {
		members = l.Members()
		return nil
	})
	return members
}

// pingAcked reports whether another instance has acked a ping of this one, which shows that
// it has this one in its membership.
func (g *gossip) pingAcked() bool {
	answered := false
	g.udp.Do(func(_ time.Time, l *member.List) []member.Send {
		answered = slices.ContainsFunc(l.Members(), func(m member.Member) bool { return !l.Acked(m.ID).Sent.IsZero() })
		return nil
	})
	return answered
}

// leave announces a planned stop to the other members.
func (g *gossip) leave() {
	g.udp.Do(func(now time.Time, l *member.List) []member.Send { return l.Leave(now) })
}

// peersOf converts the members that are not dead for the node.
func peersOf(members []member.Member) []core.Peer {
	peers := make([]core.Peer, 0, len(members))
	for _, m := range members {
		if m.State == member.Dead {
			continue
		}
		peers = append(peers, core.Peer{
			ID: m.ID, Incarnation: m.Incarnation, Address: m.PeerAddress, CallersAddress: m.CallersAddress,
			Place: m.Place, Domain: m.Domain, Region: m.Region, Leaving: m.State == member.Leaving,
		})
	}
	return peers
}
