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
	listFirst   = 10 * time.Second // from the start to the first one, with peers to ask
	listAlone   = time.Second      // while no other instance is known, doubled by each reading
	listMissing = time.Second      // while the roster names an instance of which nothing is known, doubled
	listPlace   = 30 * time.Second // while no instance of a place is known, doubled
	listFormer  = 10 * time.Second // while a former member may hold something, doubled unless the list proves its end
	listDomain  = 10 * time.Minute // by one watcher of the domain
	listRare    = time.Hour        // by all others, and what is doubled ends here
	listTick    = 500 * time.Millisecond
	listReaders = 1 // watchers of a domain that read the list
)

// doubt is something that the membership can't tell and the list may.
type doubt struct {
	about  string
	wait   time.Duration // until the first reading for it
	proves bool          // each reading counts, so that the wait is not doubled
}

// learn reads the platform's list of instances: at the start, while there is a
// doubt, and else rarely.
func (in *Instance) learn(ctx context.Context) {
	var b backoff
	p := listPlan{first: listFirst, tries: make(map[string]int)}
	if len(in.cfg.Join) == 0 {
		p.first = listAlone
	}
	read, failed, share := in.now(), time.Duration(0), rand.Float64()
	for ctx.Err() == nil {
		sleep(ctx, jittered(listTick))
		doubts := in.doubts()
		wait := time.Duration(share * float64(p.wait(doubts, in.listTurn())))
		if in.now().Before(read.Add(max(wait, failed))) {
			continue
		}
		read, failed, share = in.now(), 0, 0.5+rand.Float64()/2
		if err := in.learnOnce(ctx); err != nil {
			in.platformFailed("instances", err)
			failed = b.step()
			continue
		}
		b.reset()
		p.read(doubts)
	}
}

// listPlan says when the list is due. It belongs to the goroutine of learn.
type listPlan struct {
	first time.Duration  // until the first reading; 0 after it
	tries map[string]int // readings that did not end a doubt
}

// wait is how long after a reading of the list the next is due at most.
func (p *listPlan) wait(doubts []doubt, most time.Duration) time.Duration {
	if p.first > 0 {
		most = p.first
	}
	for _, d := range doubts {
		wait := d.wait
		for i := 0; i < p.tries[d.about] && wait < listRare && !d.proves; i++ {
			wait *= 2
		}
		most = min(most, wait)
	}
	return most
}

// read notes a reading of the list, made with these doubts.
func (p *listPlan) read(doubts []doubt) {
	tries := make(map[string]int, len(doubts))
	for _, d := range doubts {
		tries[d.about] = p.tries[d.about] + 1
	}
	p.first, p.tries = 0, tries
}

// listTurn is the wait of this instance for the list while there is no doubt.
func (in *Instance) listTurn() time.Duration {
	if replica.Watchers(in.ofDomain(), in.cfg.ID, listReaders) {
		return listDomain
	}
	return listRare
}

// doubts lists what the membership leaves open.
func (in *Instance) doubts() []doubt {
	members := in.members.Members()
	known := make(map[string]member.State, len(members))
	places := map[string]bool{in.cfg.Place: true}
	for _, m := range members {
		known[m.ID] = m.State
		places[m.Place] = places[m.Place] || m.State != member.Dead
	}
	list := in.rosterDoubts(known)
	if len(known) == 0 {
		list = append(list, doubt{about: "others", wait: listAlone})
	}
	for _, name := range in.snapshot().Places() {
		if !places[name] {
			list = append(list, doubt{about: "place " + name, wait: listPlace})
		}
	}
	return list
}

// rosterDoubts are about the place's roster: instances that can't be probed
// before the list tells their addresses, and those that seem dead.
func (in *Instance) rosterDoubts(known map[string]member.State) []doubt {
	var roster owner.Roster
	in.dispatcher.Read(func(_ time.Time, n *core.Node) { roster = n.Roster() })
	var list []doubt
	for _, f := range roster.Former {
		list = append(list, in.former(f.Instance))
	}
	for _, m := range roster.Members {
		state, ok := known[m.Instance]
		switch {
		case m.Instance == in.cfg.ID:
		case !ok:
			list = append(list, doubt{about: "member " + m.Instance, wait: listMissing})
		case state == member.Dead:
			list = append(list, in.former(m.Instance))
		}
	}
	return list
}

func (in *Instance) former(id string) doubt {
	return doubt{about: "former " + id, wait: listFormer, proves: in.cfg.ListProves}
}
