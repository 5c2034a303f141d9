package member

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/firlever/firlever/internal/wire"
)

// maxReport limits the argument of SetReport, in bytes. It leaves space for updates.
const maxReport = 600

// introduceAfter is the number of Probe periods without an ack after which pings carry this
// instance's addresses again.
const introduceAfter = 5

// ReportError means that a report is too large for a packet.
type ReportError struct{ Size int }

func (e *ReportError) Error() string {
	return fmt.Sprintf("member: report of %d bytes exceeds the maximum of %d", e.Size, maxReport)
}

// SetReport sets the free slots and releases that pings carry to the place's peers. The error is a
// *ReportError; the previous report then stays.
func (l *List) SetReport(rooms []*wire.Room, releases []*wire.Release) error {
	size := proto.Size(&wire.Packet{Rooms: rooms, Releases: releases})
	if size > maxReport {
		return &ReportError{Size: size}
	}
	l.freeSlots, l.releases = rooms, releases
	return nil
}

// packet returns a packet to a member, or to an unknown receiver if m is nil.
func (l *List) packet(m *member, kind wire.Kind, sequence uint64) *wire.Packet {
	p := &wire.Packet{
		From: l.self.in.ID, Incarnation: l.self.in.Incarnation,
		Refutation: l.self.refutation, Leaving: l.self.in.Leaving,
		Kind: kind, Sequence: sequence, Roster: l.rosterVersion, Root: l.root,
	}
	if m != nil {
		p.To, p.ToIncarnation = m.in.ID, m.in.Incarnation
		l.addSuspicion(p, m)
	}
	return p
}

// addSuspicion adds the state of a suspected or dead member to a packet to it, so that it can
// refute.
func (l *List) addSuspicion(p *wire.Packet, m *member) {
	if m.state != wire.State_STATE_ALIVE {
		p.News = append(p.News, m.update(false))
	}
}

// addQueued adds the queued updates that fit. Updates about the domain are sent only within it.
func (l *List) addQueued(p *wire.Packet, m *member) *wire.Packet {
	if m == nil || !l.sameDomain(m) {
		return p
	}
	p.News = append(p.News, l.updates.next(l, l.samePlace(m))...)
	return p
}

// ping returns a ping. It carries the own addresses unless the peer is in the domain and acked
// recently: a peer beyond the domain may not hold this instance.
func (l *List) ping(now time.Time, m *member, sequence uint64) *wire.Packet {
	p := l.packet(m, wire.Kind_KIND_PING, sequence)
	if m == nil || !l.sameDomain(m) || now.Sub(m.ack.Sent) > introduceAfter*l.cfg.Probe {
		l.introduce(p)
	}
	if m != nil && l.sameDomain(m) {
		p.Known = uint32(len(l.liveInDomain()) + 1)
	}
	if m != nil && l.samePlace(m) {
		p.Rooms, p.Releases = l.freeSlots, l.releases
	}
	return l.addQueued(p, m)
}

func (l *List) introduce(p *wire.Packet) {
	p.News = append(p.News, l.self.update(true))
}

// ack answers a ping. The ack carries an update about one member to a peer that introduced itself,
// and as many as fit to a peer that holds fewer members of the domain. A peer from beyond the
// domain that has just started gets as many as fit about its own place.
func (l *List) ack(now time.Time, m *member, ping *wire.Packet) *wire.Packet {
	p := l.packet(m, wire.Kind_KIND_ACK, ping.GetSequence())
	if l.members[m.in.ID] == m && l.samePlace(m) && l.rosterNames[m.in.ID] {
		p.Promise = true
		m.promised = now
	}
	if ping.GetTo() == "" {
		l.introduce(p)
	}
	p = l.addQueued(p, m)
	fewer := ping.GetKnown() > 0 && int(ping.GetKnown()) < len(l.liveInDomain())+1
	if fewer && l.sameDomain(m) {
		l.addUpdates(p, l.liveInDomain(), true)
	} else if introduced(ping) {
		if ping.GetTo() == "" && !l.sameDomain(m) {
			l.addUpdates(p, l.peersNear(m), true)
		}
		l.addUpdates(p, l.updateCandidates(m), false)
	}
	return p
}

func introduced(p *wire.Packet) bool {
	return slices.ContainsFunc(p.GetNews(), func(n *wire.News) bool { return n.GetId() == p.GetFrom() })
}

// addUpdates adds updates about random ones of the members to p: one, or as many as fit.
func (l *List) addUpdates(p *wire.Packet, members []*member, many bool) {
	l.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	size := proto.Size(p)
	for _, m := range members {
		n := m.update(true)
		if size += proto.Size(n) + updateOverhead; size > wire.MaxPacket {
			return
		}
		p.News = append(p.News, n)
		if !many {
			return
		}
	}
}

// updateCandidates returns the members that updates to a peer may be about: those of the domain, or
// half of the time those beyond it. For a peer beyond the domain these are the members of this
// instance's place, or half of the time those of the peer's own.
func (l *List) updateCandidates(to *member) []*member {
	if l.rng.IntN(2) == 0 {
		if found := l.beyondDomain(to); len(found) > 0 {
			return found
		}
	}
	return filter(l.domainMembers, func(m *member) bool {
		return m != to && m.state == wire.State_STATE_ALIVE && (l.sameDomain(to) || l.samePlace(m))
	})
}

func (l *List) beyondDomain(to *member) []*member {
	if l.sameDomain(to) {
		return l.liveBeyondDomain()
	}
	return l.peersNear(to)
}

// peersNear returns the members held of the own place of a peer beyond the domain, or else of its
// domain. The peer and these members may not hold each other yet.
func (l *List) peersNear(to *member) []*member {
	domain := filter(l.all, func(m *member) bool {
		return m.in.Domain == to.in.Domain && m.in.ID != to.in.ID && m.state == wire.State_STATE_ALIVE
	})
	place := filter(domain, func(m *member) bool { return m.in.Place == to.in.Place })
	if len(place) > 0 {
		return place
	}
	return domain
}
