package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/firlever/firlever/internal/core"
)

// Times of registrations. A line of the list stays for half a minute, so the
// waits are long and differ little; what spreads instances is the first of them.
const (
	registerInterval      = 29 * time.Second       // the longest between two, through outages too: all come back as they were spread
	registerJitter        = 5 * time.Second        // the share of it that is drawn anew each time
	firstRegisterDelay    = 500 * time.Millisecond // from the start to the first one, with peers to ask
	firstRegisterWithPeer = 10 * time.Second       // the same if a peer has answered; sooner than others read the list for an unknown place
)

// register keeps this instance in the platform's list. A failed try is not
// repeated sooner, lest all come at once when an outage ends; only the first
// registration is, since until then nobody finds this instance in the list.
func (in *Instance) register(ctx context.Context) {
	in.delayFirstRegistration(ctx)
	var b backoff
	registered := false
	for ctx.Err() == nil {
		err := in.registerOnce(ctx)
		if err != nil {
			in.platformFailed("register", err)
		}
		wait := registerInterval - rand.N(registerJitter)
		switch {
		case !registered && err != nil:
			wait = b.step()
		case !registered:
			wait = rand.N(registerInterval) // those that started together part here
		}
		registered = registered || err == nil
		select {
		case <-ctx.Done():
		case <-in.restoration.register:
			sleep(ctx, rand.N(reregisterJitter))
		case <-time.After(wait):
		}
	}
}

// delayFirstRegistration puts the first registration off: a little to hear of peers, and
// then, if one has answered, longer: many may start together. A list that
// proves ends must not lack who holds targets.
func (in *Instance) delayFirstRegistration(ctx context.Context) {
	if len(in.cfg.Join) == 0 {
		return
	}
	wait := rand.N(firstRegisterDelay)
	sleep(ctx, wait)
	if !in.cfg.ListProves && in.members.pingAcked() {
		sleep(ctx, rand.N(firstRegisterWithPeer)-wait)
	}
}

func (in *Instance) registerOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return in.cfg.Store.Register(ctx, in.self())
}

func (in *Instance) readInstances(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := in.now()
	list, at, err := in.cfg.Store.Instances(ctx)
	if err != nil {
		return err
	}
	in.dispatcher.Step(core.Listed{Instances: list, Sent: sent, Epoch: at.Epoch()})
	in.members.AddListed(list)
	return nil
}
