package member

import (
	"fmt"
	"slices"
	"time"

	"github.com/firlever/firlever/internal/wire"
)

// Reason states why a packet was rejected.
type Reason string

// The reasons to reject a packet.
const (
	Malformed     Reason = "malformed" // violates the packet format
	Misaddressed  Reason = "misled"    // addressed to another instance or incarnation
	Outdated      Reason = "outdated"  // from an earlier incarnation
	UnknownSender Reason = "stranger"  // from a member that is not held and did not introduce itself
	Unsolicited   Reason = "unasked"   // matches no ping in flight: late, or a duplicate
)

// PacketError means that a packet was rejected.
type PacketError struct {
	From   string
	Reason Reason
}

func (e *PacketError) Error() string {
	return fmt.Sprintf("member: packet from %q rejected: %s", e.From, e.Reason)
}

// maxRefutation prevents a forged refutation number from overflowing.
const maxRefutation = 1 << 62

// maxUpdates limits the updates in one packet.
const maxUpdates = 128

// Receive processes one packet and returns the answers. The error is a *PacketError. With the
// reason Unsolicited, the packet's updates may have been applied.
func (l *List) Receive(now time.Time, p *wire.Packet) ([]Send, error) {
	sends := l.detectPause(now)
	if reason := l.validate(p); reason != "" {
		return sends, &PacketError{From: p.GetFrom(), Reason: reason}
	}
	for _, n := range p.GetNews() {
		l.apply(now, n)
	}
	m, ok := l.members[p.GetFrom()]
	switch {
	case !ok:
		answers, err := l.handleUnknownSender(now, p)
		return append(sends, answers...), err
	case p.GetIncarnation() > m.in.Incarnation:
		return sends, &PacketError{From: p.GetFrom(), Reason: UnknownSender}
	case p.GetIncarnation() < m.in.Incarnation:
		return sends, &PacketError{From: p.GetFrom(), Reason: Outdated}
	}
	l.applySameIncarnation(now, m, &wire.News{Refutation: p.GetRefutation(), Leaving: p.GetLeaving()})
	answers, err := l.handle(now, m, p)
	return append(sends, answers...), err
}

// handleUnknownSender answers an instance that is not held because the sample of its place is full.
// It answers a ping with an introduction, and relays an ack.
func (l *List) handleUnknownSender(now time.Time, p *wire.Packet) ([]Send, error) {
	if p.GetKind() == wire.Kind_KIND_ACK {
		return l.relayAck(p)
	}
	for _, n := range p.GetNews() {
		m := &member{in: instanceOf(n)}
		if p.GetKind() == wire.Kind_KIND_PING && n.GetId() == p.GetFrom() && validInstance(m.in) {
			return l.handle(now, m, p)
		}
	}
	return nil, &PacketError{From: p.GetFrom(), Reason: UnknownSender}
}

func (l *List) validate(p *wire.Packet) Reason {
	if p.GetFrom() == "" || len(p.GetFrom()) > maxName || len(p.GetNews()) > maxUpdates {
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
		return Misaddressed
	case p.GetTo() != "" && p.GetTo() != l.self.in.ID:
		return Misaddressed
	case p.GetToIncarnation() != 0 && p.GetToIncarnation() != l.self.in.Incarnation:
		return Misaddressed
	}
	return ""
}

func (l *List) handle(now time.Time, m *member, p *wire.Packet) ([]Send, error) {
	switch p.GetKind() {
	case wire.Kind_KIND_PING:
		return []Send{{To: m.in.PeerAddress, Packet: l.ack(now, m, p)}}, nil
	case wire.Kind_KIND_PING_REQ:
		return l.pingOnBehalf(now, m, p)
	case wire.Kind_KIND_ACK:
		return l.handleAck(m, p)
	case wire.Kind_KIND_NACK:
		if pr := l.inFlight(p.GetSequence()); pr != nil && pr.id == p.GetTarget() {
			pr.nacks++
			return nil, nil
		}
		return nil, &PacketError{From: m.in.ID, Reason: Unsolicited}
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

// handleAck handles an ack of an own ping, an ack relayed by a helper, or an ack to relay.
func (l *List) handleAck(m *member, p *wire.Packet) ([]Send, error) {
	pr := l.inFlight(p.GetSequence())
	if pr == nil {
		return l.relayAck(p)
	}
	if p.GetTarget() != "" {
		pr.ackedIndirectly = pr.ackedIndirectly || pr.id == p.GetTarget()
		return nil, nil
	}
	if pr.id != "" && pr.id != m.in.ID {
		return nil, &PacketError{From: m.in.ID, Reason: Unsolicited}
	}
	l.probes = slices.DeleteFunc(l.probes, func(o *probe) bool { return o == pr })
	// A ping sent to an earlier incarnation proves nothing about this one.
	if pr.id == "" || pr.incarnation == m.in.Incarnation {
		m.ack.record(pr.sent, p)
	}
	return nil, nil
}

func (a *Ack) record(sent time.Time, p *wire.Packet) {
	if sent.After(a.Sent) {
		a.Sent = sent
	}
	if p.GetPromise() && sent.After(a.Promised) {
		a.Promised = sent
		a.Roster = p.GetRoster()
	}
}

// pingOnBehalf pings the target of a ping-req.
func (l *List) pingOnBehalf(now time.Time, asker *member, p *wire.Packet) ([]Send, error) {
	target, ok := l.members[p.GetTarget()]
	to := p.GetTargetAddress()
	if ok {
		to = target.in.PeerAddress
	}
	if !validAddress(to) || p.GetTarget() == l.self.in.ID || p.GetTarget() == "" {
		return nil, &PacketError{From: asker.in.ID, Reason: Malformed}
	}
	if len(l.relays) >= maxRelays {
		l.relays = slices.Delete(l.relays, 0, 1)
	}
	l.sequence++
	l.relays = append(l.relays, relayedPing{
		sequence: l.sequence, asker: asker.in.ID, askerSequence: p.GetSequence(), target: p.GetTarget(),
		nackAt: now.Add(l.cfg.Timeout), expiresAt: now.Add(l.cfg.Probe),
	})
	ping := l.ping(now, target, l.sequence)
	ping.To = p.GetTarget()
	return []Send{{To: to, Packet: ping}}, nil
}

// relayAck sends the asker of a ping-req the target's ack.
func (l *List) relayAck(p *wire.Packet) ([]Send, error) {
	at := slices.IndexFunc(l.relays, func(r relayedPing) bool {
		return r.sequence == p.GetSequence() && r.target == p.GetFrom()
	})
	if at < 0 {
		return nil, &PacketError{From: p.GetFrom(), Reason: Unsolicited}
	}
	r := l.relays[at]
	l.relays = slices.Delete(l.relays, at, at+1)
	asker, ok := l.members[r.asker]
	if !ok {
		return nil, nil
	}
	ack := l.packet(asker, wire.Kind_KIND_ACK, r.askerSequence)
	ack.Target = r.target
	return []Send{{To: asker.in.PeerAddress, Packet: l.addQueued(ack, asker)}}, nil
}
