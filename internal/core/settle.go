package core

import (
	"time"

	"github.com/firlever/firlever/internal/owner"
)

// settling is a slot whose attempt was broken off: the target may go on with
// the work until it notices.
type settling struct {
	target owner.TargetKey
	until  time.Time
}

// settle keeps a broken attempt's slot for a while, so that the target isn't
// given more than its slots while it ends the work.
func (n *Node) settle(now time.Time, key owner.TargetKey) {
	n.settlings = append(n.settlings, settling{target: key, until: now.Add(n.cfg.Settle)})
}

// settleDue gives back the slots whose time has come. The list is in the order
// of time, as each slot is kept equally long.
func (n *Node) settleDue(now time.Time) {
	due := 0
	for due < len(n.settlings) && !now.Before(n.settlings[due].until) {
		n.book.Done(n.settlings[due].target)
		due++
	}
	n.settlings = n.settlings[due:]
}
