package member

import (
	"fmt"
	"slices"
	"time"

	"github.com/firlever/firlever/internal/wire"
)

// Reason says why a packet was passed over.
type Reason string

// The reasons to pass a packet over.
const (
	Malformed Reason = "malformed" // breaks a rule of the wire
	Misled    Reason = "misled"    // meant for another instance or incarnation
	Outdated  Reason = "outdated"  // from an earlier incarnation
	Stranger  Reason = "stranger"  // from a member that is not held and did not introduce itself
	Unasked   Reason = "unasked"   // an answer to nothing in flight: late, or a duplicate
)

// PacketError says that a packet was passed over.
type PacketError struct {
	From   string
	Reason Reason
}

func (e *PacketError) Error() string {
	return fmt.Sprintf("member: packet from %q passed over: %s", e.From, e.Reason)
}

// maxRefutation keeps a forged refutation from wrapping round.
const maxRefutation = 1 << 62

// maxNews bounds the news in one packet.
const maxNews = 128

// Receive takes one packet in and returns the answers. The error is a
// *PacketError; the packet's news may have been taken in if the reason is Unasked.
func (l *List) Receive(now time.Time, p *wire.Packet) ([]Send, error) {
	sends := l.observe(now)
	if reason := l.check(p); reason != "" {
		return sends, &PacketError{From: p.GetFrom(), Reason: reason}
	}
	for _, n := range p.GetNews() {
		l.apply(now, n)
	}
	m, ok := l.members[p.GetFrom()]
	switch {
	case !ok:
		answers, err := l.answerStranger(now, p)
		return append(sends, answers...), err
	case p.GetIncarnation() > m.in.Incarnation:
		return sends, &PacketError{From: p.GetFrom(), Reason: Stranger}
	case p.GetIncarnation() < m.in.Incarnation:
		return sends, &PacketError{From: p.GetFrom(), Reason: Outdated}
	}
	l.applySame(now, m, &wire.News{Refutation: p.GetRefutation(), Leaving: p.GetLeaving()})
	answers, err := l.answer(now, m, p)
	return append(sends, answers...), err
}

// answerStranger answers an instance that is not held because its place's sample
// is full: its introduced ping, and its ack to be passed on.
func (l *List) answerStranger(now time.Time, p *wire.Packet) ([]Send, error) {
	if p.GetKind() == wire.Kind_KIND_ACK {
		return l.passOn(p)
	}
	for _, n := range p.GetNews() {
		m := &member{in: instanceOf(n)}
		if p.GetKind() == wire.Kind_KIND_PING && n.GetId() == p.GetFrom() && validInstance(m.in) {
			return l.answer(now, m, p)
		}
	}
	return nil, &PacketError{From: p.GetFrom(), Reason: Stranger}
}

func (l *List) check(p *wire.Packet) Reason {
	if p.GetFrom() == "" || len(p.GetFrom()) > maxName || len(p.GetNews()) > maxNews {
		return Malformed
	}
	if len(p.GetTarget()) > maxName || p.GetRefutation() > maxRefutation {
		return Malformed
	}
	for _, n := range p.GetNews() {
		if n.GetId() == "" || n.GetRefutation() > maxRefutation || n.GetState() < 0 || n.GetState() > wire.State_STATE_DEAD {
			return Malformed
		}
	}
	switch {
	case p.GetFrom() == l.self.in.ID:
		return Misled
	case p.GetTo() != "" && p.GetTo() != l.self.in.ID:
		return Misled
	case p.GetToIncarnation() != 0 && p.GetToIncarnation() != l.self.in.Incarnation:
		return Misled
	}
	return ""
}

func (l *List) answer(now time.Time, m *member, p *wire.Packet) ([]Send, error) {
	switch p.GetKind() {
	case wire.Kind_KIND_PING:
		return []Send{{To: m.in.Address, Packet: l.ack(now, m, p)}}, nil
	case wire.Kind_KIND_PING_REQ:
		return l.pingFor(now, m, p)
	case wire.Kind_KIND_ACK:
		return l.acked(m, p)
	case wire.Kind_KIND_NACK:
		if pr := l.inFlight(p.GetSequence()); pr != nil && pr.id == p.GetTarget() {
			pr.nacks++
			return nil, nil
		}
		return nil, &PacketError{From: m.in.ID, Reason: Unasked}
	}
	return nil, &PacketError{From: m.in.ID, Reason: Malformed}
}

func (l *List) inFlight(sequence uint64) *probe {
	at := slices.IndexFunc(l.probes, func(p *probe) bool { return p.sequence == sequence })
	if at < 0 {
		return nil
	}
	return l.probes[at]
}

// acked takes an ack: of an own ping, passed on by a helper, or to be passed on.
func (l *List) acked(m *member, p *wire.Packet) ([]Send, error) {
	pr := l.inFlight(p.GetSequence())
	if pr == nil {
		return l.passOn(p)
	}
	if p.GetTarget() != "" {
		pr.answered = pr.answered || pr.id == p.GetTarget()
		return nil, nil
	}
	if pr.id != "" && pr.id != m.in.ID {
		return nil, &PacketError{From: m.in.ID, Reason: Unasked}
	}
	l.probes = slices.DeleteFunc(l.probes, func(o *probe) bool { return o == pr })
	// A ping sent to an earlier incarnation proves nothing about this one.
	if pr.id == "" || pr.incarnation == m.in.Incarnation {
		m.ack.take(pr.sent, p)
	}
	return nil, nil
}

func (a *Ack) take(sent time.Time, p *wire.Packet) {
	if sent.After(a.Sent) {
		a.Sent = sent
	}
	if p.GetPromise() && sent.After(a.Promised) {
		a.Promised = sent
		a.Roster = p.GetRoster()
	}
}

// pingFor pings the target of a ping-req.
func (l *List) pingFor(now time.Time, asker *member, p *wire.Packet) ([]Send, error) {
	target, ok := l.members[p.GetTarget()]
	to := p.GetTargetAddress()
	if ok {
		to = target.in.Address
	}
	if !validAddress(to) || p.GetTarget() == l.self.in.ID || p.GetTarget() == "" {
		return nil, &PacketError{From: asker.in.ID, Reason: Malformed}
	}
	if len(l.relays) >= maxRelays {
		l.relays = slices.Delete(l.relays, 0, 1)
	}
	l.sequence++
	l.relays = append(l.relays, relay{
		sequence: l.sequence, from: asker.in.ID, asked: p.GetSequence(), target: p.GetTarget(),
		nackBy: now.Add(l.cfg.Timeout), forgetsBy: now.Add(l.cfg.Probe),
	})
	ping := l.ping(now, target, l.sequence)
	ping.To = p.GetTarget()
	return []Send{{To: to, Packet: ping}}, nil
}

// passOn tells the asker of a ping-req that the target acked.
func (l *List) passOn(p *wire.Packet) ([]Send, error) {
	at := slices.IndexFunc(l.relays, func(r relay) bool {
		return r.sequence == p.GetSequence() && r.target == p.GetFrom()
	})
	if at < 0 {
		return nil, &PacketError{From: p.GetFrom(), Reason: Unasked}
	}
	r := l.relays[at]
	l.relays = slices.Delete(l.relays, at, at+1)
	asker, ok := l.members[r.from]
	if !ok {
		return nil, nil
	}
	ack := l.packet(asker, wire.Kind_KIND_ACK, r.asked)
	ack.Target = r.target
	return []Send{{To: asker.in.Address, Packet: l.finish(ack, asker)}}, nil
}
