package core_test

import (
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/pkg/settings"
)

// ping is a heartbeat with its optional contents.
type ping struct {
	from       *proc
	sent       time.Time // by the sender's clock
	leaving    bool
	roster     owner.Roster
	release    owner.Release
	freeSlots  []core.FreeSlots
	docs       []settings.Document // rarely set
	allDocs    bool                // docs holds all of the sender's documents
	withRoster bool                // the roster itself is included
}

// ping sends heartbeats to all other instances, with the free slots and sometimes the
// roster and some documents.
func (p *proc) ping() {
	for _, name := range p.w.names {
		to := p.w.live[name]
		if to == nil || to == p {
			continue
		}
		m := ping{
			from: p, sent: p.local(), leaving: p.leaving, roster: p.node.Roster(),
			release: p.node.Release(), freeSlots: p.node.FreeSlots(p.local()), withRoster: p.w.chance(0.1),
		}
		if p.w.chance(0.2) {
			m.docs = p.someDocs()
			m.allDocs = len(m.docs) == p.docs.Len()
		}
		p.w.datagram(p, to, func() { to.pinged(m) })
	}
}

// someDocs returns some or all of the documents, in random order.
func (p *proc) someDocs() []settings.Document {
	docs := p.docs.Documents()
	p.w.rng.Shuffle(len(docs), func(i, j int) { docs[i], docs[j] = docs[j], docs[i] })
	if len(docs) == 0 || p.w.chance(0.5) {
		return docs
	}
	return docs[:p.w.rng.IntN(len(docs))]
}

// pinged processes a heartbeat. An ack is a promise that the node has to permit.
func (p *proc) pinged(m ping) {
	p.seen(m.from, m.leaving)
	if m.docs != nil && (p.snapshot != nil || m.allDocs) {
		p.takeDocs(m.docs) // the first documents come in full, as the callers' blocks could be missing otherwise
	}
	if m.from.place != p.place {
		return
	}
	if p.node.MayAck(p.local(), m.from.name, m.from.incarnation, m.roster.Version) {
		p.ack(m)
	}
	p.step(core.Released{Release: m.release})
	p.step(core.FreeSlotsReceived{Peer: m.from.name, Services: m.freeSlots})
	if m.withRoster {
		p.step(core.RosterReceived{Roster: m.roster})
	}
}

func (p *proc) ack(m ping) {
	version := p.node.Roster().Version
	p.w.datagram(p, m.from, func() {
		m.from.seen(p, p.leaving)
		m.from.step(core.PeerAcked{Peer: p.name, Incarnation: p.incarnation, Sent: m.sent, Roster: version})
	})
}

// seen records that a peer is alive.
func (p *proc) seen(from *proc, leaving bool) {
	h := p.lastSeen[from.name]
	if h != nil && h.incarnation > from.incarnation {
		return
	}
	p.lastSeen[from.name] = &lastSeen{at: p.local(), incarnation: from.incarnation, leaving: leaving}
}

// readRoster reads the place's roster from the platform.
func (p *proc) readRoster() {
	p.asking = true
	sent := p.local()
	done := func(next time.Duration) {
		p.asking = false
		p.rosterDue = p.local().Add(next)
	}
	p.w.store.call(p, func() func() {
		r := p.w.store.rosters[p.place]
		return func() {
			p.step(core.RosterRead{Roster: r, Sent: sent})
			next := rosterSoon
			if p.node.Confirmed(p.local()) {
				next = rosterSlow
			}
			done(next)
		}
	}, func() { done(rosterSoon) })
}

// swapRoster asks the platform to change the roster.
func (p *proc) swapRoster(d core.SwapRoster) {
	p.w.tracef("%s asks for %s of version %d (removes %q)", p, d.Reason, d.Next.Version, d.Removed)
	p.w.store.call(p, func() func() {
		landed := p.w.store.swap(p.place, d.Next)
		return func() {
			p.rosterDue = time.Time{}
			if !landed && d.Removed != "" {
				p.step(core.SwapFailed{Removed: d.Removed})
			}
		}
	}, func() { p.rosterDue = time.Time{} })
}

// register renews the instance's entry in the platform's list, and reads the list.
func (p *proc) register() {
	sent := p.local()
	p.w.store.call(p, func() func() {
		p.w.store.register(p.name, p.incarnation)
		list := p.w.store.list(p.place)
		return func() { p.step(core.Listed{Instances: list, Sent: sent}) }
	}, func() {})
}
