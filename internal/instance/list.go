package instance

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/owner"
)

// How the platform's list of instances is kept and read. All that reads of the
// list cost grows with the world, so without need they are rare: membership
// tells of changes sooner than the list does.
const (
	registerEvery = 30 * time.Second // the longest time between two registrations
	listSlow      = 10 * time.Minute // the longest time between two reads of the list
	listFormer    = 10 * time.Second // the same while a former member may still hold something
	listSoon      = time.Second      // the same while others may be missing here
	youngFor      = 5 * time.Second  // after the start: those who start together are not listed yet
)

// jittered spreads what many instances do over half of a period.
func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }

// register keeps this instance in the platform's list.
func (in *Instance) register(ctx context.Context) {
	var b backoff
	for ctx.Err() == nil {
		if err := in.registerOnce(ctx); err != nil {
			in.platformFailed("register", err)
			b.wait(ctx)
			continue
		}
		b.reset()
		sleep(ctx, jittered(registerEvery))
	}
}

func (in *Instance) registerOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return in.cfg.Store.Register(ctx, in.self())
}

// learn follows the platform's list.
func (in *Instance) learn(ctx context.Context) {
	var b backoff
	young := in.now().Add(youngFor)
	for ctx.Err() == nil {
		if err := in.learnOnce(ctx); err != nil {
			in.platformFailed("instances", err)
			b.wait(ctx)
			continue
		}
		b.reset()
		in.waitList(ctx, in.now(), young)
	}
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

// waitList waits until the list is to be read again, after it was read at last.
func (in *Instance) waitList(ctx context.Context, last, young time.Time) {
	slow, former := last.Add(jittered(listSlow)), last.Add(jittered(listFormer))
	for ctx.Err() == nil {
		sleep(ctx, jittered(listSoon))
		var roster owner.Roster
		in.desk.Read(func(_ time.Time, n *core.Node) { roster = n.Roster() })
		now := in.now()
		switch {
		case now.Before(young), in.missesMember(roster), !now.Before(slow):
			return
		case len(roster.Former) > 0 && !now.Before(former):
			return
		}
	}
}

// missesMember says whether the place's roster names an instance of which
// nothing is known here: it can't be probed before the platform's list, which
// lags, tells its address.
func (in *Instance) missesMember(roster owner.Roster) bool {
	known := make(map[string]bool)
	for _, m := range in.members.Members() {
		known[m.ID] = true
	}
	return slices.ContainsFunc(roster.Members, func(m owner.Member) bool {
		return m.Instance != in.cfg.ID && !known[m.Instance]
	})
}
