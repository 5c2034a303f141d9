package core

import (
	"slices"
	"time"

	"github.com/firlever/firlever/internal/owner"
)

// quarantinedSlot is the slot of an aborted attempt. The target may continue the work
// until it detects the abort, or even begin it later if it or the network path is paused.
type quarantinedSlot struct {
	request   ID
	target    owner.TargetKey
	abortedAt time.Time // when the attempt was aborted
	releaseBy time.Time // when the slot is released at the latest, as an attempt can't last longer

	// A connection that was reset says nothing about the target. Its slot is kept until the
	// target has answered something that was sent after the abort, and for Config.Settle
	// more.
	reset     bool
	heldUntil time.Time // earliest release of the slot
	responded bool      // the target has answered a request or probe sent after abortedAt
	probed    bool      // a probe was sent, as the target had not answered by heldUntil
}

// quarantineSlot keeps the slot of f's aborted attempt until the target has ended the
// attempt's connection, so that the target never gets more requests than slots. Releasing
// the slot 250 ms after the target next answered on another connection was not enough:
// five times, targets that had paused for 1.5 s worked on 3 requests with 2 slots.
func (n *Node) quarantineSlot(now time.Time, f *inFlight) {
	until := now.Add(n.cfg.Settle)
	n.quarantine = append(n.quarantine, quarantinedSlot{
		request: f.id, target: f.target, abortedAt: now, heldUntil: until, releaseBy: until.Add(f.service.Timeout()),
	})
}

// connectionEnded processes how the connection of an aborted attempt ended.
func (n *Node) connectionEnded(now time.Time, ev ConnectionEnded) {
	i := slices.IndexFunc(n.quarantine, func(s quarantinedSlot) bool {
		return s.request == ev.ID && s.target == ev.Target && !s.reset
	})
	if i < 0 {
		return
	}
	if ev.Reset {
		n.quarantine[i].reset = true
		return
	}
	n.quarantine = slices.Delete(n.quarantine, i, i+1)
	n.owners.Done(ev.Target)
	n.serveQueue(now)
}

// targetResponded records that a target has answered, at now, something that was sent at
// asked.
func (n *Node) targetResponded(now time.Time, key owner.TargetKey, asked time.Time) {
	for i := range n.quarantine {
		s := &n.quarantine[i]
		if s.responded || s.target != key || !asked.After(s.abortedAt) {
			continue
		}
		s.responded, s.heldUntil = true, now.Add(n.cfg.Settle)
	}
}

// releaseQuarantined releases the slots that are due, and probes the targets of reset
// connections that have not answered.
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
