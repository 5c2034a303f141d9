package instance

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/member"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/internal/platform"
	"github.com/firlever/firlever/internal/wire"
	"github.com/firlever/firlever/pkg/settings"
)

// Sizes and timers of the membership's socket.
const (
	maxPacket   = 1200 // bytes; a longer one is dropped
	gossipEvery = 50 * time.Millisecond
	roomRounds  = 5 // rounds between two reports of room
)

// gossip runs the membership over a UDP socket at the peers' address. It is
// safe for concurrent use. Its lock is taken before the dispatcher's, never after.
type gossip struct {
	in   *Instance
	conn net.PacketConn
	stop context.CancelFunc
	done sync.WaitGroup

	mu   sync.Mutex
	list *member.List // guarded by mu
}

func newGossip(in *Instance) (*gossip, error) {
	list, err := member.New(member.Config{Self: in.self(), Seeds: in.cfg.Join, Seed: in.cfg.Seed}, time.Now())
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
	return &gossip{in: in, conn: conn, list: list}, nil
}

func (g *gossip) start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	g.done.Go(func() { g.read(ctx) })
	g.done.Go(func() { g.tick(ctx) })
}

func (g *gossip) close() {
	g.stop()
	g.conn.Close()
	g.done.Wait()
}

// read takes packets in. Garbage is dropped: anybody may send to the port.
func (g *gossip) read(ctx context.Context) {
	buf := make([]byte, maxPacket+1)
	for ctx.Err() == nil {
		n, _, err := g.conn.ReadFrom(buf)
		if err != nil || n > maxPacket {
			continue
		}
		p := &wire.Packet{}
		switch {
		case proto.Unmarshal(buf[:n], p) != nil:
		case p.Kind == wire.Kind_KIND_UNSPECIFIED:
			g.takeRooms(p)
		default:
			g.receive(p)
		}
	}
}

func (g *gossip) receive(p *wire.Packet) {
	g.mu.Lock()
	sends, err := g.list.Receive(time.Now(), p)
	g.mu.Unlock()
	g.sendAll(sends, p)
	if err == nil {
		g.take(p)
	}
}

// take passes on what a packet tells beyond membership.
func (g *gossip) take(p *wire.Packet) {
	g.mu.Lock()
	ack := g.list.Acked(p.From)
	m, ok := g.list.Get(p.From)
	g.mu.Unlock()
	if !ok {
		return
	}
	if p.Root != g.in.docs.Root() {
		g.in.differs(m.Instance)
	}
	if m.Place != g.in.cfg.Place {
		return
	}
	if p.Kind == wire.Kind_KIND_ACK && p.Promise {
		g.in.desk.Step(core.PeerAcked{Peer: p.From, Incarnation: p.Incarnation, Sent: ack.Promised, Roster: ack.Roster})
	}
	if p.Kind == wire.Kind_KIND_PING {
		g.in.desk.Step(core.Released{Release: releaseOf(p)})
	}
}

// takeRooms takes in a packet that only tells of room. A wrong one misleads a
// choice at most: the peer's own count decides.
func (g *gossip) takeRooms(p *wire.Packet) {
	g.mu.Lock()
	m, ok := g.list.Get(p.From)
	g.mu.Unlock()
	if ok && m.Incarnation == p.Incarnation && m.Place == g.in.cfg.Place {
		g.in.desk.Step(core.RoomHeard{Peer: p.From, Rooms: roomsOf(p)})
	}
}

// tellRooms sends this instance's room to the peers of its place.
func (g *gossip) tellRooms() {
	rooms, _, _ := g.in.told()
	b, err := proto.Marshal(&wire.Packet{From: g.in.cfg.ID, Incarnation: g.in.incarnation, Rooms: rooms})
	if err != nil || len(b) > maxPacket {
		return
	}
	g.mu.Lock()
	near := g.list.Alive(g.in.cfg.Place)
	g.mu.Unlock()
	for _, m := range near {
		g.write(b, m.Address)
	}
}

func (g *gossip) write(b []byte, address string) {
	if to, err := net.ResolveUDPAddr("udp", address); err == nil {
		g.conn.WriteTo(b, to)
	}
}

// sendAll sends packets. An ack is a promise about the roster, which the node
// has to allow.
func (g *gossip) sendAll(sends []member.Send, cause *wire.Packet) {
	for _, s := range sends {
		if s.Packet.Kind == wire.Kind_KIND_ACK && s.Packet.Promise {
			s.Packet.Promise = g.mayPromise(cause)
		}
		b, err := proto.Marshal(s.Packet)
		if err != nil || len(b) > maxPacket {
			continue
		}
		g.write(b, s.To)
	}
}

func (g *gossip) mayPromise(ping *wire.Packet) bool {
	if ping == nil {
		return false
	}
	var ok bool
	g.in.desk.Read(func(now time.Time, n *core.Node) {
		ok = n.MayAck(now, ping.From, ping.Incarnation, ping.Roster)
	})
	return ok
}

func (g *gossip) tick(ctx context.Context) {
	t := time.NewTicker(gossipEvery)
	defer t.Stop()
	n := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.round()
			if n++; n%roomRounds == 0 {
				g.tellRooms()
			}
		}
	}
}

// round gives the membership its turn, and tells the node of changes.
func (g *gossip) round() {
	_, release, roster := g.in.told()
	g.mu.Lock()
	g.list.SetRoot(g.in.docs.Root())
	g.list.SetRoster(roster.Version, memberNames(roster))
	g.list.SetReport(nil, release)
	sends := g.list.Tick(time.Now())
	changed := len(g.list.Changes()) > 0
	peers := peersOf(g.list.Members())
	g.mu.Unlock()
	g.sendAll(sends, nil)
	if changed {
		g.in.desk.Step(core.PeersChanged{Peers: peers})
	}
}

// Learn takes in the platform's list of instances.
func (g *gossip) Learn(list []platform.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.list.Learn(time.Now(), list)
}

// Members are the instances that are known, without this one.
func (g *gossip) Members() []member.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.list.Members()
}

// leave tells the others of a planned stop.
func (g *gossip) leave() {
	g.mu.Lock()
	sends := g.list.Leave(time.Now())
	g.mu.Unlock()
	g.sendAll(sends, nil)
}

func memberNames(r owner.Roster) []string {
	names := make([]string, 0, len(r.Members))
	for _, m := range r.Members {
		names = append(names, m.Instance)
	}
	return names
}

// peersOf lists the live members for the node.
func peersOf(members []member.Member) []core.Peer {
	peers := make([]core.Peer, 0, len(members))
	for _, m := range members {
		if m.State == member.Dead {
			continue
		}
		peers = append(peers, core.Peer{
			ID: m.ID, Incarnation: m.Incarnation, Address: m.Address, Callers: m.Callers,
			Place: m.Place, Domain: m.Domain, Region: m.Region, Leaving: m.State == member.Leaving,
		})
	}
	return peers
}

// told is what this instance tells the peers of its place.
func (in *Instance) told() ([]*wire.Room, []*wire.Release, owner.Roster) {
	var rooms []core.Room
	var release owner.Release
	var roster owner.Roster
	in.desk.Read(func(now time.Time, n *core.Node) {
		rooms, release, roster = n.Rooms(now), n.Release(), n.Roster()
	})
	return wireRooms(rooms), wireHeld(release), roster
}

func wireRooms(rooms []core.Room) []*wire.Room {
	list := make([]*wire.Room, 0, len(rooms))
	for _, r := range rooms {
		list = append(list, &wire.Room{Service: r.Service.String(), Free: uint32(r.Free), Queued: uint32(r.Queued)})
	}
	return list
}

func roomsOf(p *wire.Packet) []core.Room {
	rooms := make([]core.Room, 0, len(p.Rooms))
	for _, r := range p.Rooms {
		if id, err := settings.ParseServiceID(r.Service); err == nil {
			rooms = append(rooms, core.Room{Service: id, Free: int(r.Free), Queued: int(r.Queued)})
		}
	}
	return rooms
}

func wireHeld(release owner.Release) []*wire.Release {
	list := make([]*wire.Release, 0, len(release.Held))
	for _, h := range release.Held {
		list = append(list, &wire.Release{
			Service: h.Key.Service.String(), Target: h.Key.Name, Held: uint32(h.Slots), Quota: uint32(h.Quota),
		})
	}
	return list
}

// releaseOf reads a peer's release. One that can't be read whole is not used:
// it would say that the peer holds less than it does.
func releaseOf(p *wire.Packet) owner.Release {
	r := owner.Release{From: p.From, Incarnation: p.Incarnation, Version: p.Roster, Seq: p.Sequence}
	for _, h := range p.Releases {
		id, err := settings.ParseServiceID(h.Service)
		if err != nil {
			return owner.Release{From: p.From, Incarnation: p.Incarnation}
		}
		r.Held = append(r.Held, owner.Held{
			Key: owner.TargetKey{Service: id, Name: h.Target}, Slots: int(h.Held), Quota: int(h.Quota),
		})
	}
	return r
}
