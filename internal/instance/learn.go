package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/member"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/internal/replica"
)

// Times between two readings of the platform's list, at most: a share of a half
// to all of each is drawn anew after each reading. A reading costs more in a
// larger world, and peers tell of nearly all that is in it.
const (
	listFirst          = 10 * time.Second // from the start to the first one, with peers to ask
	listNoPeers        = time.Second      // while no other instance is known, doubled by each reading
	listUnknownMember  = time.Second      // while the roster names an instance of which nothing is known, doubled
	listEmptyPlace     = 30 * time.Second // while no instance of a place is known, doubled
	listPreviousMember = 10 * time.Second // while a former member may hold something, doubled unless the list proves its end
	listAsReader       = 10 * time.Minute // by one watcher of the domain
	listMax            = time.Hour        // by all others, and what is doubled ends here
	listTick           = 500 * time.Millisecond
	listReaders        = 1 // watchers of a domain that read the list
)

// listReason is something that the membership can't tell and the list may.
type listReason struct {
	key       string
	wait      time.Duration // until the first reading for it
	noBackoff bool          // each reading counts, so that the wait is not doubled
}

// refreshInstances reads the platform's list of instances: at the start, while there is a
// doubt, and else rarely.
func (in *Instance) refreshInstances(ctx context.Context) {
	var b backoff
	p := listSchedule{first: listFirst, tries: make(map[string]int)}
	if len(in.cfg.Join) == 0 {
		p.first = listNoPeers
	}
	read, failed, factor := in.now(), time.Duration(0), rand.Float64()
	for ctx.Err() == nil {
		sleep(ctx, jittered(listTick))
		reasons := in.listReasons()
		wait := time.Duration(factor * float64(p.wait(reasons, in.listInterval())))
		if in.now().Before(read.Add(max(wait, failed))) {
			continue
		}
		read, failed, factor = in.now(), 0, 0.5+rand.Float64()/2
		if err := in.readInstances(ctx); err != nil {
			in.platformFailed("instances", err)
			failed = b.step()
			continue
		}
		b.reset()
		p.recordRead(reasons)
	}
}

// listSchedule says when the list is due. It belongs to the goroutine of learn.
type listSchedule struct {
	first time.Duration  // until the first reading; 0 after it
	tries map[string]int // readings that did not end a doubt
}

// wait is how long after a reading of the list the next is due at most.
func (p *listSchedule) wait(reasons []listReason, most time.Duration) time.Duration {
	if p.first > 0 {
		most = p.first
	}
	for _, r := range reasons {
		wait := r.wait
		for i := 0; i < p.tries[r.key] && wait < listMax && !r.noBackoff; i++ {
			wait *= 2
		}
		most = min(most, wait)
	}
	return most
}

// recordRead notes a reading of the list, made with these doubts.
func (p *listSchedule) recordRead(reasons []listReason) {
	tries := make(map[string]int, len(reasons))
	for _, r := range reasons {
		tries[r.key] = p.tries[r.key] + 1
	}
	p.first, p.tries = 0, tries
}

// listInterval is the wait of this instance for the list while there is no doubt.
func (in *Instance) listInterval() time.Duration {
	if replica.Watchers(in.domainPeers(), in.cfg.ID, listReaders) {
		return listAsReader
	}
	return listMax
}

// listReasons lists what the membership leaves open.
func (in *Instance) listReasons() []listReason {
	members := in.members.Members()
	known := make(map[string]member.State, len(members))
	places := map[string]bool{in.cfg.Place: true}
	for _, m := range members {
		known[m.ID] = m.State
		places[m.Place] = places[m.Place] || m.State != member.Dead
	}
	list := in.rosterListReasons(known)
	if len(known) == 0 {
		list = append(list, listReason{key: "others", wait: listNoPeers})
	}
	for _, name := range in.snapshot().Places() {
		if !places[name] {
			list = append(list, listReason{key: "place " + name, wait: listEmptyPlace})
		}
	}
	return list
}

// rosterListReasons are about the place's roster: instances that can't be probed
// before the list tells their addresses, and those that seem dead.
func (in *Instance) rosterListReasons(known map[string]member.State) []listReason {
	var roster owner.Roster
	in.dispatcher.Read(func(_ time.Time, n *core.Node) { roster = n.Roster() })
	var list []listReason
	for _, f := range roster.Former {
		list = append(list, in.previousMember(f.Instance))
	}
	for _, m := range roster.Members {
		state, ok := known[m.Instance]
		switch {
		case m.Instance == in.cfg.ID:
		case !ok:
			list = append(list, listReason{key: "member " + m.Instance, wait: listUnknownMember})
		case state == member.Dead:
			list = append(list, in.previousMember(m.Instance))
		}
	}
	return list
}

func (in *Instance) previousMember(id string) listReason {
	return listReason{key: "former " + id, wait: listPreviousMember, noBackoff: in.cfg.ListProves}
}
