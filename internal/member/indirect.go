package member

import (
	"slices"
	"time"

	"github.com/firlever/firlever/internal/wire"
)

// maxRelays bounds the pings for others in flight.
const maxRelays = 64

// relay is one ping sent for another member.
type relay struct {
	sequence  uint64
	from      string
	asked     uint64 // the asker's sequence
	target    string
	nackBy    time.Time
	forgetsBy time.Time
	nacked    bool
}

func (l *List) expireProbes(now time.Time) []Send {
	var sends []Send
	var left []*probe
	for _, p := range l.probes {
		if !now.Before(p.failBy) {
			l.fail(now, p)
			continue
		}
		if p.asked < 0 && !now.Before(p.askBy) {
			sends = append(sends, l.askHelpers(p)...)
		}
		left = append(left, p)
	}
	l.probes = left
	return sends
}

// askHelpers asks random members to ping the silent one: of the domain, and
// others only if these are too few.
func (l *List) askHelpers(p *probe) []Send {
	p.asked = 0
	target, ok := l.members[p.id]
	if !ok || target.state == wire.State_STATE_DEAD {
		return nil
	}
	var sends []Send
	for _, living := range []func() []*member{l.living, l.livingFar} {
		if len(sends) >= l.cfg.Indirect {
			break
		}
		helpers := living()
		l.rng.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
		for _, h := range helpers {
			if h == target || len(sends) >= l.cfg.Indirect {
				continue
			}
			req := l.packet(h, wire.Kind_KIND_PING_REQ, p.sequence)
			req.Target, req.TargetAddress = target.in.ID, target.in.Address
			sends = append(sends, Send{To: h.in.Address, Packet: l.finish(req, h)})
		}
	}
	p.asked = len(sends)
	return sends
}

// fail suspects a member that did not answer, unless it refuted meanwhile. If
// no helper answered either, our own link may be at fault: it gets twice the time.
func (l *List) fail(now time.Time, p *probe) {
	m, ok := l.members[p.id]
	if !ok || p.answered || m.state != wire.State_STATE_ALIVE {
		return
	}
	if m.in.Incarnation != p.incarnation || m.refutation != p.refutation {
		return
	}
	l.suspect(now, m)
	if p.asked > 0 && p.nacks == 0 {
		m.suspectBy = m.suspectBy.Add(l.cfg.Suspect)
	}
}

// expireRelays tells the askers of pings that were not acked in time.
func (l *List) expireRelays(now time.Time) []Send {
	var sends []Send
	for i := range l.relays {
		r := &l.relays[i]
		if r.nacked || now.Before(r.nackBy) {
			continue
		}
		r.nacked = true
		if m, ok := l.members[r.from]; ok {
			nack := l.packet(m, wire.Kind_KIND_NACK, r.asked)
			nack.Target = r.target
			sends = append(sends, Send{To: m.in.Address, Packet: l.finish(nack, m)})
		}
	}
	l.relays = slices.DeleteFunc(l.relays, func(r relay) bool { return !now.Before(r.forgetsBy) })
	return sends
}
