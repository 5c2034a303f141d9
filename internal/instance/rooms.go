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

// What one packet tells the peers of the place is bounded, whatever the number
// of services: some that have changed, and now and then one that has not, as a
// packet may have been lost.
const (
	roomChanged = 2 // services that have changed in one packet
	roomTurn    = 4 // packets between two that repeat what has not changed
)

// toldRooms is what the peers of the place were last told. It is not safe for
// concurrent use.
type toldRooms struct {
	round uint64
	told  map[settings.ServiceID]toldRoom // of the services of the latest round
}

type toldRoom struct {
	room  core.Room
	round uint64 // when it was told; 0 for never
}

// pick chooses the rooms for one packet, longest told first, and takes them as told.
func (t *toldRooms) pick(rooms []core.Room) []core.Room {
	t.round++
	told := make(map[settings.ServiceID]toldRoom, len(rooms))
	for _, r := range rooms {
		told[r.Service] = t.told[r.Service]
	}
	t.told = told
	oldest := slices.Clone(rooms)
	slices.SortStableFunc(oldest, func(a, b core.Room) int {
		return cmp.Compare(told[a.Service].round, told[b.Service].round)
	})
	changed, rest := roomChanged, 0
	if t.round%roomTurn == 0 {
		rest = 1
	}
	var picked []core.Room
	for _, r := range oldest {
		left := &changed
		if told[r.Service].room == r {
			left = &rest
		}
		if *left > 0 {
			*left--
			picked = append(picked, r)
			told[r.Service] = toldRoom{room: r, round: t.round}
		}
	}
	return picked
}

// tellRooms sends this instance's room to the peers of its place, and keeps
// the list's idea of the roster up to date.
func (g *gossip) tellRooms(ctx context.Context) {
	t := time.NewTicker(roomEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.tellRoom()
		}
	}
}

func (g *gossip) tellRoom() {
	var rooms []core.Room
	var roster owner.Roster
	g.in.dispatcher.Read(func(now time.Time, n *core.Node) { rooms, roster = n.Rooms(now), n.Roster() })
	g.setRoster(roster)
	var near []member.Member
	g.udp.Do(func(_ time.Time, l *member.List) []member.Send {
		near = l.Alive(g.in.cfg.Place)
		return nil
	})
	picked := g.told.pick(rooms)
	if len(picked) == 0 {
		return
	}
	p := &wire.Packet{From: g.in.cfg.ID, Incarnation: g.in.incarnation}
	peer.SetRooms(p, picked)
	for _, m := range near {
		g.udp.Send(m.Address, p)
	}
}
