package core

import (
	"slices"
	"time"

	"github.com/firlever/firlever/internal/owner"
)

// quarantinedSlot is a slot whose attempt was broken off: the target may go on with the work
// until it notices, or begin it only then, if it or the path to it stands still.
type quarantinedSlot struct {
	request   ID // the request
	target    owner.TargetKey
	abortedAt time.Time // when the attempt was broken off
	releaseBy time.Time // the slot is free then in any case: an attempt can't last longer

	// A connection that was reset shows nothing of the target. The slot is then kept until
	// the target has answered something that it was asked after the break, and some time
	// more.
	reset     bool
	heldUntil time.Time // the slot is kept until then at least
	responded bool      // the target has answered since broken
	probed    bool      // the target was asked for a sign of life, as it had given none by until
}

// quarantineSlot keeps the slot of f's broken attempt, so that the target isn't given more than
// its slots while it ends the work: until the target has ended the attempt's connection.
// With slots that were free 250 ms after the target was next heard on another connection,
// targets that stood still for 1.5 s five times worked on 3 requests with 2 slots.
func (n *Node) quarantineSlot(now time.Time, f *inFlight) {
	until := now.Add(n.cfg.Settle)
	n.quarantine = append(n.quarantine, quarantinedSlot{
		request: f.id, target: f.target, abortedAt: now, heldUntil: until, releaseBy: until.Add(f.service.Timeout()),
	})
}

// connectionEnded takes in how the connection of a broken attempt connectionEnded.
func (n *Node) connectionEnded(now time.Time, ev Ended) {
	i := slices.IndexFunc(n.quarantine, func(s quarantinedSlot) bool {
		return s.request == ev.ID && s.target == ev.Target && !s.reset
	})
	if i < 0 {
		return
	}
	if ev.Cut {
		n.quarantine[i].reset = true
		return
	}
	n.quarantine = slices.Delete(n.quarantine, i, i+1)
	n.owners.Done(ev.Target)
	n.serveQueue(now)
}

// targetResponded notes that a target has answered at now what it was asked at a time.
func (n *Node) targetResponded(now time.Time, key owner.TargetKey, asked time.Time) {
	for i := range n.quarantine {
		s := &n.quarantine[i]
		if s.responded || s.target != key || !asked.After(s.abortedAt) {
			continue
		}
		s.responded, s.heldUntil = true, now.Add(n.cfg.Settle)
	}
}

// releaseQuarantined gives back the slots whose time has come, and asks the targets of cut
// connections for a sign of life.
func (n *Node) releaseQuarantined(now time.Time) {
	n.quarantine = slices.DeleteFunc(n.quarantine, func(s quarantinedSlot) bool {
		free := s.reset && s.responded && !now.Before(s.heldUntil) || !now.Before(s.releaseBy)
		if free {
			n.owners.Done(s.target)
		}
		return free
	})
	for i := range n.quarantine {
		s := &n.quarantine[i]
		if !s.reset || s.responded || s.probed || now.Before(s.heldUntil) {
			continue
		}
		s.probed = true
		n.probeSoon(now, s.target)
	}
}
