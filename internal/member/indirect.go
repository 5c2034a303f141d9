package member

import (
	"slices"
	"time"

	"github.com/firlever/firlever/internal/wire"
)

// maxRelays limits the relayed pings in flight.
const maxRelays = 64

// relayedPing is one ping sent on behalf of another member.
type relayedPing struct {
	sequence      uint64
	asker         string
	askerSequence uint64 // sequence number of the asker's ping
	target        string
	nackAt        time.Time
	expiresAt     time.Time
	nacked        bool
}

func (l *List) expireProbes(now time.Time) []Send {
	var sends []Send
	var left []*probe
	for _, p := range l.probes {
		if !now.Before(p.failAt) {
			l.fail(now, p)
			continue
		}
		if p.helpersAsked < 0 && !now.Before(p.indirectAt) {
			sends = append(sends, l.askHelpers(p)...)
		}
		left = append(left, p)
	}
	l.probes = left
	return sends
}

// askHelpers asks random members to ping the silent one. It asks members of the domain, and others
// only if there are too few of these.
func (l *List) askHelpers(p *probe) []Send {
	p.helpersAsked = 0
	target, ok := l.members[p.id]
	if !ok || target.state == wire.State_STATE_DEAD {
		return nil
	}
	var sends []Send
	for _, candidates := range []func() []*member{l.liveInDomain, l.liveBeyondDomain} {
		if len(sends) >= l.cfg.Indirect {
			break
		}
		helpers := candidates()
		l.rng.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
		for _, h := range helpers {
			if h == target || len(sends) >= l.cfg.Indirect {
				continue
			}
			req := l.packet(h, wire.Kind_KIND_PING_REQ, p.sequence)
			req.Target, req.TargetAddress = target.in.ID, target.in.PeerAddress
			sends = append(sends, Send{To: h.in.PeerAddress, Packet: l.addQueued(req, h)})
		}
	}
	p.helpersAsked = len(sends)
	return sends
}

// fail marks a member that did not answer as suspect, unless it has refuted since. If no helper
// answered either, this instance's own link may be faulty, so the member gets twice the time to
// refute.
func (l *List) fail(now time.Time, p *probe) {
	m, ok := l.members[p.id]
	if !ok || p.ackedIndirectly || m.state != wire.State_STATE_ALIVE {
		return
	}
	if m.in.Incarnation != p.incarnation || m.refutation != p.refutation {
		return
	}
	l.suspect(now, m)
	if p.helpersAsked > 0 && p.nacks == 0 {
		m.suspectBy = m.suspectBy.Add(l.cfg.Suspect)
	}
}

// expireRelays sends a nack to the asker of each relayed ping that was not acked in time.
func (l *List) expireRelays(now time.Time) []Send {
	var sends []Send
	for i := range l.relays {
		r := &l.relays[i]
		if r.nacked || now.Before(r.nackAt) {
			continue
		}
		r.nacked = true
		if m, ok := l.members[r.asker]; ok {
			nack := l.packet(m, wire.Kind_KIND_NACK, r.askerSequence)
			nack.Target = r.target
			sends = append(sends, Send{To: m.in.PeerAddress, Packet: l.addQueued(nack, m)})
		}
	}
	l.relays = slices.DeleteFunc(l.relays, func(r relayedPing) bool { return !now.Before(r.expiresAt) })
	return sends
}
