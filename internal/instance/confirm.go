package instance

import (
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/member"
	"github.com/firlever/firlever/internal/wire"
)

// spreadBound is how long an accepted document may take to be in force everywhere.
const spreadBound = 10 * time.Second

func (in *Instance) confirmSettings(at time.Time) {
	in.dispatcher.Step(core.SettingsConfirmed{Until: at.Add(spreadBound)})
}

// watchAnsweredAt returns the earliest time at which the store may have answered a watch. Without
// changes it has waited first, by its own clock, which may be the faster one.
func watchAnsweredAt(sent, now time.Time, changed bool) time.Time {
	waited := sent.Add(watchWait * 19 / 20)
	if changed || waited.After(now) {
		return sent
	}
	return waited
}

// confirmByStore records that the platform's store was read at a point in time, or later. A store
// that was restored from a snapshot confirms nothing until lost changes are written again.
func (in *Instance) confirmByStore(at time.Time) {
	if !in.restoration.restoring(in.now()) {
		in.docs.Confirm(at)
	}
}

// confirmDocuments takes over when the platform's store confirmed a peer's documents, if the local
// ones are equal. Only an ack shows that: it is not older than the ping that it answers, while
// another packet may have been waiting here for any time.
func (g *gossip) confirmDocuments(p *wire.Packet, ack member.Ack) {
	if p.Kind != wire.Kind_KIND_ACK || p.Target != "" || p.Confirmed == 0 || ack.Sent.IsZero() {
		return
	}
	g.in.docs.ConfirmIfEqual(p.Root, ack.Sent.Add(-time.Duration(p.Confirmed)*time.Millisecond))
}

// confirmedMillis returns what an ack reports to a peer: the time since the platform's store
// confirmed the documents, in milliseconds, rounded up, and one more. It is 0 if that is not known,
// or so long ago that it is of no use.
func confirmedMillis(now, at time.Time) uint32 {
	age := now.Sub(at)
	if at.IsZero() || age > spreadBound {
		return 0
	}
	return uint32(max(age, 0)/time.Millisecond) + 2
}
