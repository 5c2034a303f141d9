package member

import (
	"slices"
	"sort"
	"time"

	"github.com/firlever/firlever/internal/wire"
)

// seedInterval is the number of Probe periods between pings to seeds once a member is alive.
const seedInterval = 10

// Limits for pings to seeds at the start.
const (
	startPingsPerProbe = 4 // pings in one Probe period
	startRounds        = 2 // pings to each seed
)

// maxProbes limits the pings in flight.
const maxProbes = 256

// probe is one ping in flight.
type probe struct {
	sequence        uint64
	id              string // empty for a seed
	incarnation     uint64
	refutation      uint64
	sent            time.Time
	indirectAt      time.Time // without an ack by then, helpers are asked
	failAt          time.Time // without an answer by then, the member is suspected
	helpersAsked    int       // number of helpers asked; -1 before indirectAt
	nacks           int       // number of helpers that got no ack either
	ackedIndirectly bool      // a helper relayed the member's ack
}

// Next returns the latest time for the next call of Tick.
func (l *List) Next() time.Time {
	next := l.lastCall.Add(l.cfg.Probe)
	atMost := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	atMost(l.placeDue)
	atMost(l.domainDue)
	atMost(l.remoteDue)
	if l.starting() {
		atMost(l.seedDue)
	}
	for _, p := range l.probes {
		if p.helpersAsked < 0 {
			atMost(p.indirectAt)
		}
		atMost(p.failAt)
	}
	for _, r := range l.relays {
		if !r.nacked {
			atMost(r.nackAt)
		}
	}
	return next
}

// Tick does everything that is due: pings, indirect probes, and the expiry of suspicions and of
// dead members.
func (l *List) Tick(now time.Time) []Send {
	sends := l.detectPause(now)
	sends = append(sends, l.expireProbes(now)...)
	sends = append(sends, l.expireRelays(now)...)
	l.expireMembers(now)
	sends = append(sends, l.pingPlace(now)...)
	sends = append(sends, l.pingDomain(now)...)
	sends = append(sends, l.pingRemote(now)...)
	sends = append(sends, l.pingDead(now)...)
	return append(sends, l.pingSeed(now)...)
}

// detectPause detects a pause of this process. Any silence in that time was its own, so the
// deadlines of other members start anew, and all place peers are pinged at once.
func (l *List) detectPause(now time.Time) []Send {
	gap := now.Sub(l.lastCall)
	if gap > 0 {
		l.lastCall = now
	}
	if gap <= l.cfg.Pause {
		return nil
	}
	l.addChange(now, Resumed, l.self)
	l.probes, l.relays = nil, nil
	for _, m := range l.all {
		if m.state == wire.State_STATE_SUSPECT {
			m.suspectBy = now.Add(l.cfg.Suspect)
			l.scheduleExpiry(m.suspectBy)
		}
	}
	var sends []Send
	for _, m := range l.placePeers() {
		sends = append(sends, l.probe(now, m))
	}
	return sends
}

func (l *List) placePeers() []*member {
	peers := filter(l.domainMembers, func(m *member) bool { return l.samePlace(m) && m.state != wire.State_STATE_DEAD })
	if len(peers) > l.cfg.PlaceProbes {
		return l.rotateAfter(peers, l.lastPlacePing)[:l.cfg.PlaceProbes]
	}
	return peers
}

// rotateAfter rotates members, sorted by id, so that those after id come first.
func (l *List) rotateAfter(members []*member, id string) []*member {
	at := sort.Search(len(members), func(i int) bool { return members[i].in.ID > id })
	return append(slices.Clone(members[at:]), members[:at]...)
}

// due reports whether the deadline has passed, and advances it by a share of Probe.
func (l *List) due(now time.Time, at *time.Time, share int) bool {
	if now.Before(*at) {
		return false
	}
	step := l.cfg.Probe / time.Duration(share)
	*at = at.Add(step)
	if !at.After(now) {
		*at = now.Add(step)
	}
	return true
}

func (l *List) pingPlace(now time.Time) []Send {
	peers := l.placePeers()
	if !l.due(now, &l.placeDue, max(1, len(peers))) || len(peers) == 0 {
		return nil
	}
	m := l.rotateAfter(peers, l.lastPlacePing)[0]
	l.lastPlacePing = m.in.ID
	return []Send{l.probe(now, m)}
}

func (l *List) pingDomain(now time.Time) []Send {
	if !l.due(now, &l.domainDue, l.cfg.DomainProbes) {
		return nil
	}
	return l.pingRing(now, &l.domainRing, func(m *member) bool {
		return l.sameDomain(m) && !l.samePlace(m) && m.state != wire.State_STATE_DEAD
	})
}

// pingRemote also pings dead members: no other instance reports that they are back.
func (l *List) pingRemote(now time.Time) []Send {
	if !l.due(now, &l.remoteDue, l.cfg.RemoteProbes) {
		return nil
	}
	return l.pingRing(now, &l.farRing, func(m *member) bool { return !l.sameDomain(m) })
}

func (l *List) pingRing(now time.Time, r *ring, want func(*member) bool) []Send {
	good := func(id string) bool {
		m, ok := l.members[id]
		return ok && want(m)
	}
	refill := func() []string {
		var ids []string
		for _, m := range filter(l.all, want) {
			ids = append(ids, m.in.ID)
		}
		return ids
	}
	id, ok := r.next(l.rng, good, refill)
	if !ok {
		return nil
	}
	return []Send{l.probe(now, l.members[id])}
}

// pingDead pings one dead member of the domain, which may be back after a partition.
func (l *List) pingDead(now time.Time) []Send {
	if !l.due(now, &l.deadDue, 1) {
		return nil
	}
	dead := filter(l.domainMembers, func(m *member) bool { return m.state == wire.State_STATE_DEAD })
	if len(dead) == 0 {
		return nil
	}
	m := l.rotateAfter(dead, l.lastDeadPing)[0]
	l.lastDeadPing = m.in.ID
	return []Send{l.probe(now, m)}
}

// pingSeed pings one of the seeds: several times per Probe at the start, then once per Probe, and
// every seedInterval once another member is alive.
func (l *List) pingSeed(now time.Time) []Send {
	isStarting := l.starting()
	share := 1
	if isStarting {
		share = startPingsPerProbe
	}
	if len(l.cfg.Seeds) == 0 || !l.due(now, &l.seedDue, share) {
		return nil
	}
	if !isStarting && len(l.liveInDomain())+len(l.liveBeyondDomain()) > 0 {
		l.seedDue = now.Add(seedInterval * l.cfg.Probe)
	}
	to := l.cfg.Seeds[l.seedPings%len(l.cfg.Seeds)]
	l.seedPings++
	if to == l.self.in.PeerAddress {
		return nil
	}
	p := l.newProbe(now, nil)
	return []Send{{To: to, Packet: l.ping(now, nil, p.sequence)}}
}

// starting reports whether this instance still looks for the others of its place. Until they hold
// each other, neither can take work off the other. Each seed is pinged startRounds times, because a
// seed may hold none of them and a packet may be lost.
func (l *List) starting() bool {
	return l.placeSize == 0 && l.seedPings < startRounds*len(l.cfg.Seeds)
}

func (l *List) probe(now time.Time, m *member) Send {
	p := l.newProbe(now, m)
	return Send{To: m.in.PeerAddress, Packet: l.ping(now, m, p.sequence)}
}

func (l *List) newProbe(now time.Time, m *member) *probe {
	l.sequence++
	p := &probe{
		sequence: l.sequence, sent: now, helpersAsked: -1,
		indirectAt: now.Add(l.cfg.Timeout), failAt: now.Add(l.cfg.Probe),
	}
	if m != nil {
		p.id, p.incarnation, p.refutation = m.in.ID, m.in.Incarnation, m.refutation
	}
	if len(l.probes) >= maxProbes {
		l.probes = slices.Delete(l.probes, 0, 1)
	}
	l.probes = append(l.probes, p)
	return p
}
