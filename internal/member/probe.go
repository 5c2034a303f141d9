package member

import (
	"slices"
	"sort"
	"time"

	"github.com/firlever/firlever/internal/wire"
)

// seedEvery is how many Probes pass between pings to seeds once a member is alive.
const seedEvery = 10

// How seeds are asked at the beginning.
const (
	beginShare  = 4 // pings in one Probe
	beginRounds = 2 // pings to each seed
)

// maxProbes bounds the pings in flight.
const maxProbes = 256

// probe is one ping in flight.
type probe struct {
	sequence    uint64
	id          string // empty for a seed
	incarnation uint64
	refutation  uint64
	sent        time.Time
	askBy       time.Time // no ack by then: ask helpers
	failBy      time.Time // no answer by then: suspect
	asked       int       // helpers asked; -1 before askBy
	nacks       int       // helpers that answered in vain
	answered    bool      // by a helper on the member's behalf
}

// Next returns when Tick is due at the latest.
func (l *List) Next() time.Time {
	next := l.last.Add(l.cfg.Probe)
	sooner := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	sooner(l.placeDue)
	sooner(l.domainDue)
	sooner(l.remoteDue)
	if l.begins() {
		sooner(l.seedDue)
	}
	for _, p := range l.probes {
		if p.asked < 0 {
			sooner(p.askBy)
		}
		sooner(p.failBy)
	}
	for _, r := range l.relays {
		if !r.nacked {
			sooner(r.nackBy)
		}
	}
	return next
}

// Tick does what is due: pings, indirect probes, suspicion, death, forgetting.
func (l *List) Tick(now time.Time) []Send {
	sends := l.observe(now)
	sends = append(sends, l.expireProbes(now)...)
	sends = append(sends, l.expireRelays(now)...)
	l.expireMembers(now)
	sends = append(sends, l.pingPlace(now)...)
	sends = append(sends, l.pingDomain(now)...)
	sends = append(sends, l.pingRemote(now)...)
	sends = append(sends, l.pingDead(now)...)
	return append(sends, l.pingSeed(now)...)
}

// observe notices a pause of this process. Silence during it was our own, so
// deadlines of others start anew, and all place peers are asked at once.
func (l *List) observe(now time.Time) []Send {
	gap := now.Sub(l.last)
	if gap > 0 {
		l.last = now
	}
	if gap <= l.cfg.Pause {
		return nil
	}
	l.change(now, Woke, l.self)
	l.probes, l.relays = nil, nil
	for _, m := range l.all {
		if m.state == wire.State_STATE_SUSPECT {
			m.suspectBy = now.Add(l.cfg.Suspect)
			l.expireAt(m.suspectBy)
		}
	}
	var sends []Send
	for _, m := range l.placePeers() {
		sends = append(sends, l.probe(now, m))
	}
	return sends
}

func (l *List) placePeers() []*member {
	peers := where(l.local, func(m *member) bool { return l.near(m) && m.state != wire.State_STATE_DEAD })
	if len(peers) > l.cfg.PlaceProbes {
		return l.after(peers, l.placeAt)[:l.cfg.PlaceProbes]
	}
	return peers
}

// after turns members, sorted by id, so that those past id come first.
func (l *List) after(members []*member, id string) []*member {
	at := sort.Search(len(members), func(i int) bool { return members[i].in.ID > id })
	return append(slices.Clone(members[at:]), members[:at]...)
}

// due tells if the deadline is past, and moves it on by a share of Probe.
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
	m := l.after(peers, l.placeAt)[0]
	l.placeAt = m.in.ID
	return []Send{l.probe(now, m)}
}

func (l *List) pingDomain(now time.Time) []Send {
	if !l.due(now, &l.domainDue, l.cfg.DomainProbes) {
		return nil
	}
	return l.pingRing(now, &l.domainRing, func(m *member) bool {
		return l.isLocal(m) && !l.near(m) && m.state != wire.State_STATE_DEAD
	})
}

// pingRemote pings dead members too: nobody else tells us that they are back.
func (l *List) pingRemote(now time.Time) []Send {
	if !l.due(now, &l.remoteDue, l.cfg.RemoteProbes) {
		return nil
	}
	return l.pingRing(now, &l.farRing, func(m *member) bool { return !l.isLocal(m) })
}

func (l *List) pingRing(now time.Time, r *ring, want func(*member) bool) []Send {
	good := func(id string) bool {
		m, ok := l.members[id]
		return ok && want(m)
	}
	refill := func() []string {
		var ids []string
		for _, m := range where(l.all, want) {
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

// pingDead asks one dead member of the domain, which may be back after a partition.
func (l *List) pingDead(now time.Time) []Send {
	if !l.due(now, &l.deadDue, 1) {
		return nil
	}
	dead := where(l.local, func(m *member) bool { return m.state == wire.State_STATE_DEAD })
	if len(dead) == 0 {
		return nil
	}
	m := l.after(dead, l.deadAt)[0]
	l.deadAt = m.in.ID
	return []Send{l.probe(now, m)}
}

// pingSeed asks the addresses to begin with: often while nobody else is alive.
func (l *List) pingSeed(now time.Time) []Send {
	begins := l.begins()
	share := 1
	if begins {
		share = beginShare
	}
	if len(l.cfg.Seeds) == 0 || !l.due(now, &l.seedDue, share) {
		return nil
	}
	if !begins && len(l.living())+len(l.livingFar()) > 0 {
		l.seedDue = now.Add(seedEvery * l.cfg.Probe)
	}
	to := l.cfg.Seeds[l.seedAt%len(l.cfg.Seeds)]
	l.seedAt++
	if to == l.self.in.Address {
		return nil
	}
	p := l.begin(now, nil)
	return []Send{{To: to, Packet: l.ping(now, nil, p.sequence)}}
}

// begins says whether this instance still looks for the others of its place.
// Until it knows them it can take no work off them, and they none off it; one
// seed may know none of them, and one packet may get lost.
func (l *List) begins() bool {
	return l.place == 0 && l.seedAt < beginRounds*len(l.cfg.Seeds)
}

func (l *List) probe(now time.Time, m *member) Send {
	p := l.begin(now, m)
	return Send{To: m.in.Address, Packet: l.ping(now, m, p.sequence)}
}

func (l *List) begin(now time.Time, m *member) *probe {
	l.sequence++
	p := &probe{
		sequence: l.sequence, sent: now, asked: -1,
		askBy: now.Add(l.cfg.Timeout), failBy: now.Add(l.cfg.Probe),
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
