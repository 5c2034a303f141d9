package instance

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/member"
	"github.com/firlever/firlever/internal/owner"
)

// The longest times between two registrations and between two readings of the
// platform's list. Half of each is drawn anew each time.
const (
	registerEvery = 30 * time.Second // through outages too: all come back spread over it
	firstRegister = 3 * time.Second  // from the start to the first one, with peers to ask
	listMissing   = time.Second      // while the roster names an instance of which nothing is known
	listYoung     = 3 * time.Second  // in the first moments
	listFormer    = 10 * time.Second // while the list may prove an instance dead
	listWatcher   = 30 * time.Second // by a watcher of the domain
	listSlow      = 10 * time.Minute // by the others: they hear of each other from peers, and reading costs more in a larger world
	youngFor      = 5 * time.Second  // after the start: those who start together are not listed yet
	listTick      = 500 * time.Millisecond
)

// register keeps this instance in the platform's list. A failed try is not
// repeated sooner, lest all come at once when an outage ends; only the first
// registration is, since until then nobody finds this instance in the list.
func (in *Instance) register(ctx context.Context) {
	if len(in.cfg.Join) > 0 {
		sleep(ctx, rand.N(firstRegister))
	}
	var b backoff
	registered := false
	for ctx.Err() == nil {
		err := in.registerOnce(ctx)
		if err != nil {
			in.platformFailed("register", err)
		}
		registered = registered || err == nil
		wait := jittered(registerEvery)
		if !registered {
			wait = b.step()
		}
		sleep(ctx, wait)
	}
}

func (in *Instance) registerOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return in.cfg.Store.Register(ctx, in.self())
}

// learn reads the platform's list of instances, often only while it has to
// tell something that peers don't.
func (in *Instance) learn(ctx context.Context) {
	var b backoff
	young := in.now().Add(youngFor)
	read := in.now()
	wait := rand.N(listYoung / 2)
	for ctx.Err() == nil {
		sleep(ctx, min(wait, jittered(listTick)))
		if in.now().Before(read.Add(wait)) {
			wait = min(wait, in.listWait(young))
			continue
		}
		read = in.now()
		if err := in.learnOnce(ctx); err != nil {
			in.platformFailed("instances", err)
			wait = max(in.listWait(young), b.step())
			continue
		}
		b.reset()
		wait = in.listWait(young)
	}
}

// listWait is how long after a reading of the list the next is due.
func (in *Instance) listWait(young time.Time) time.Duration {
	missing, former := in.unproved()
	switch {
	case missing:
		return jittered(listMissing)
	case in.now().Before(young):
		return jittered(listYoung)
	case former:
		return jittered(listFormer)
	case in.isWatcher():
		return jittered(listWatcher)
	}
	return jittered(listSlow)
}

// unproved says whether the place's roster names an instance of which nothing
// is known here, which can't be probed before the platform's list tells its
// address; and whether it has lines of instances that seem dead.
func (in *Instance) unproved() (missing, former bool) {
	known := make(map[string]member.State)
	for _, m := range in.members.Members() {
		known[m.ID] = m.State
	}
	var roster owner.Roster
	in.desk.Read(func(_ time.Time, n *core.Node) { roster = n.Roster() })
	former = len(roster.Former) > 0
	missing = slices.ContainsFunc(roster.Members, func(m owner.Member) bool {
		state, ok := known[m.Instance]
		former = former || ok && state == member.Dead
		return m.Instance != in.cfg.ID && !ok
	})
	return missing, former
}

func (in *Instance) learnOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := in.now()
	list, err := in.cfg.Store.Instances(ctx)
	if err != nil {
		return err
	}
	in.desk.Step(core.Listed{Instances: list, Sent: sent})
	in.members.Learn(list)
	return nil
}
