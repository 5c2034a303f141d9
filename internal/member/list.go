package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/firlever/firlever/internal/wire"
)

// List holds the members that one instance tracks: all members of its domain, and a sample of each
// other place.
type List struct {
	cfg           Config
	rng           *rand.Rand
	self          *member // never in members
	members       map[string]*member
	all           []*member      // the values of members, sorted by id
	domainMembers []*member      // members of the own domain, sorted by id
	placeSize     int            // number of members of the own place
	placeSizes    map[string]int // number of members held of each place beyond the domain
	changes       []Change
	updates       updateQueue

	lastCall   time.Time     // latest time passed to a call
	nextExpiry time.Time     // no suspicion or dead member expires earlier; zero: none does
	sequence   uint64        // of the latest ping; never decreases
	probes     []*probe      // in flight, by sequence
	relays     []relayedPing // pings sent on behalf of others, by sequence

	placeDue, domainDue, remoteDue, deadDue, seedDue time.Time

	lastPlacePing       string // id of the place peer pinged last
	domainRing, farRing ring
	lastDeadPing        string // id of the dead member pinged last
	seedPings           int

	replaced      bool // a newer incarnation of this instance was observed
	rosterVersion uint64
	rosterNames   map[string]bool
	root          uint64
	freeSlots     []*wire.Room
	releases      []*wire.Release
}

// New returns a list that holds only this instance. The error is a *ConfigError.
func New(cfg Config, now time.Time) (*List, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	l := &List{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Incarnation)),
		self:       &member{in: cfg.Self, since: now},
		members:    map[string]*member{},
		placeSizes: map[string]int{},
		lastCall:   now,

		placeDue: now, domainDue: now, remoteDue: now, deadDue: now, seedDue: now,
	}
	l.sequence = uint64(l.rng.Uint32())
	return l, nil
}

// Self returns this instance.
func (l *List) Self() Member { return l.self.view() }

// Get returns one member other than this instance.
func (l *List) Get(id string) (Member, bool) {
	m, ok := l.members[id]
	if !ok {
		return Member{}, false
	}
	return m.view(), true
}

// Members returns all members held, without this instance, sorted by id.
func (l *List) Members() []Member {
	return l.views(func(*member) bool { return true })
}

// Alive returns the members of a place that are alive or suspected, and not leaving, sorted by id.
// Like Members, it excludes this instance.
func (l *List) Alive(place string) []Member {
	return l.views(func(m *member) bool {
		return m.in.Place == place && m.state != wire.State_STATE_DEAD && !m.in.Leaving
	})
}

// Domain returns the members of a domain, sorted by id.
func (l *List) Domain(domain string) []Member {
	return l.views(func(m *member) bool { return m.in.Domain == domain })
}

func (l *List) views(want func(*member) bool) []Member {
	var views []Member
	for _, m := range filter(l.all, want) {
		views = append(views, m.view())
	}
	return views
}

func filter(members []*member, want func(*member) bool) []*member {
	var found []*member
	for _, m := range members {
		if want(m) {
			found = append(found, m)
		}
	}
	return found
}

// Changes returns the changes since the last call, oldest first.
func (l *List) Changes() []Change {
	changes := l.changes
	l.changes = nil
	return changes
}

// Acked returns what the acks of one peer prove. Acks of an earlier incarnation of the peer, and
// acks relayed by others, don't count.
func (l *List) Acked(id string) Ack {
	if m, ok := l.members[id]; ok {
		return m.ack
	}
	return Ack{}
}

// Promised returns when this instance last acked a ping of the peer with a promise not to remove it
// from the roster; zero if never. A later removal must wait for the whole term from that time on.
func (l *List) Promised(id string) time.Time {
	if m, ok := l.members[id]; ok {
		return m.promised
	}
	return time.Time{}
}

// SetRoster sets the version and the members of the place's roster in force at this instance. Acks
// contain a promise only for those members.
func (l *List) SetRoster(version uint64, ids []string) {
	l.rosterVersion = version
	l.rosterNames = make(map[string]bool, len(ids))
	for _, id := range ids {
		l.rosterNames[id] = true
	}
}

// SetRoot sets the documents' hash that is sent with each packet.
func (l *List) SetRoot(root uint64) { l.root = root }

func (l *List) addChange(now time.Time, kind ChangeKind, m *member) {
	l.changes = append(l.changes, Change{Kind: kind, At: now, Member: m.view()})
	if len(l.changes) > maxChanges {
		l.changes = slices.Delete(l.changes, 0, 1)
	}
}

// maxChanges limits the changes kept for a caller that does not drain Changes.
const maxChanges = 4096

// samePlace reports whether the member is in the own place. sameDomain reports the same for the own
// domain.
func (l *List) samePlace(m *member) bool {
	return m.in.Place == l.self.in.Place && l.sameDomain(m)
}

func (l *List) sameDomain(m *member) bool { return m.in.Domain == l.self.in.Domain }

// liveInDomain returns the members of the domain that are not dead.
func (l *List) liveInDomain() []*member {
	return filter(l.domainMembers, func(m *member) bool { return m.state != wire.State_STATE_DEAD })
}

// liveBeyondDomain returns the members beyond the domain that are not dead.
func (l *List) liveBeyondDomain() []*member {
	return filter(l.all, func(m *member) bool { return m.state != wire.State_STATE_DEAD && !l.sameDomain(m) })
}
