package instance

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/member"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/internal/peer"
	"github.com/firlever/firlever/internal/wire"
	"github.com/firlever/firlever/pkg/settings"
)

// Bounds of one packet with free slots, whatever the number of services: it holds a few
// counts that have changed and, in every unchangedEvery-th packet, one that has not, since
// packets may be lost.
const (
	maxChanged     = 2 // most services with a changed count in one packet
	unchangedEvery = 4 // every so many packets, one repeats a count that has not changed
)

// capacityRotation chooses the counts for each packet from those last sent to the peers of
// the place. It is not safe for concurrent use.
type capacityRotation struct {
	round uint64
	sent  map[settings.ServiceID]sentCapacity // last sent counts of the services of the latest round
}

type sentCapacity struct {
	capacity core.FreeSlots
	round    uint64 // round of the last packet with it; 0 for none
}

// pick returns the counts for one packet, those sent longest ago first, and records them as
// sent.
func (t *capacityRotation) pick(capacities []core.FreeSlots) []core.FreeSlots {
	t.round++
	sent := make(map[settings.ServiceID]sentCapacity, len(capacities))
	for _, r := range capacities {
		sent[r.Service] = t.sent[r.Service]
	}
	t.sent = sent
	oldest := slices.Clone(capacities)
	slices.SortStableFunc(oldest, func(a, b core.FreeSlots) int {
		return cmp.Compare(sent[a.Service].round, sent[b.Service].round)
	})
	changed, unchanged := maxChanged, 0
	if t.round%unchangedEvery == 0 {
		unchanged = 1
	}
	var picked []core.FreeSlots
	for _, r := range oldest {
		budget := &changed
		if sent[r.Service].capacity == r {
			budget = &unchanged
		}
		if *budget > 0 {
			*budget--
			picked = append(picked, r)
			sent[r.Service] = sentCapacity{capacity: r, round: t.round}
		}
	}
	return picked
}

// sendCapacities sends this instance's free slots to the peers of its place, and keeps the
// member list's copy of the roster up to date.
func (g *gossip) sendCapacities(ctx context.Context) {
	t := time.NewTicker(capacityInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.sendCapacity()
		}
	}
}

func (g *gossip) sendCapacity() {
	var capacities []core.FreeSlots
	var roster owner.Roster
	g.in.dispatcher.WithNode(func(now time.Time, n *core.Node) { capacities, roster = n.FreeSlots(now), n.Roster() })
	g.setRoster(roster)
	var peers []member.Member
	g.udp.Do(func(_ time.Time, l *member.List) []member.Send {
		peers = l.Alive(g.in.cfg.Place)
		return nil
	})
	picked := g.sentCapacity.pick(capacities)
	if len(picked) == 0 {
		return
	}
	p := &wire.Packet{From: g.in.cfg.ID, Incarnation: g.in.incarnation}
	peer.SetFreeSlots(p, picked)
	for _, m := range peers {
		g.udp.Send(m.PeerAddress, p)
	}
}
