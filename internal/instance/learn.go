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

// Longest times between two reads of the platform's list of instances. After each read a
// factor between a half and 1 is drawn, by which they are multiplied. A read costs more in
// a larger cluster, and peers report nearly everything that is in the list.
const (
	listFirst          = 10 * time.Second // from the start to the first read, if there are seed addresses
	listNoPeers        = time.Second      // while no other instance is known; doubles with each read
	listUnknownMember  = time.Second      // while the roster names an instance that is not in the membership; doubles
	listEmptyPlace     = 30 * time.Second // while no instance of a place is known; doubles
	listPreviousMember = 10 * time.Second // while a previous member may still hold targets; doubles unless the list proves its end
	listAsReader       = 10 * time.Minute // without another reason, for the reader of the domain
	listMax            = time.Hour        // for all others, and the bound of doubling
	listTick           = 500 * time.Millisecond
	listReaders        = 1 // watchers of a domain that read the list regularly
)

// listReason is a question that the membership leaves open and the list may answer.
type listReason struct {
	key       string
	wait      time.Duration // until the first read for this reason
	noBackoff bool          // the list proves the end of an instance, so each read may answer the question
}

// refreshInstances reads the platform's list of instances after the start, while there is a
// listReason, and otherwise rarely.
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

// listSchedule computes when the list is read next. It is used only by the goroutine of
// refreshInstances.
type listSchedule struct {
	first time.Duration  // until the first read; 0 after it
	tries map[string]int // by key of a reason, reads that did not resolve it
}

// wait returns the longest time from the last read of the list to the next.
func (p *listSchedule) wait(reasons []listReason, longest time.Duration) time.Duration {
	if p.first > 0 {
		longest = p.first
	}
	for _, r := range reasons {
		wait := r.wait
		for i := 0; i < p.tries[r.key] && wait < listMax && !r.noBackoff; i++ {
			wait *= 2
		}
		longest = min(longest, wait)
	}
	return longest
}

// recordRead records a read of the list that was made for these reasons.
func (p *listSchedule) recordRead(reasons []listReason) {
	tries := make(map[string]int, len(reasons))
	for _, r := range reasons {
		tries[r.key] = p.tries[r.key] + 1
	}
	p.first, p.tries = 0, tries
}

// listInterval returns this instance's interval between reads while there is no listReason.
func (in *Instance) listInterval() time.Duration {
	if replica.IsWatcher(in.domainPeers(), in.cfg.ID, listReaders) {
		return listAsReader
	}
	return listMax
}

// listReasons returns the questions that the membership leaves open.
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

// rosterListReasons returns those about the place's roster: instances that can't be probed
// because only the list has their addresses, and those that appear dead.
func (in *Instance) rosterListReasons(known map[string]member.State) []listReason {
	var roster owner.Roster
	in.dispatcher.WithNode(func(_ time.Time, n *core.Node) { roster = n.Roster() })
	var list []listReason
	for _, f := range roster.Previous {
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
