package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/firlever/firlever/internal/core"
)

// Times of registrations. An entry of the list lasts for half a minute, so the intervals
// are long and vary little; the time of the first registration is what spreads the
// instances.
const (
	registerInterval      = 29 * time.Second       // longest interval, kept during outages too: after one, instances return as spread out as before
	registerJitter        = 5 * time.Second        // random part of the interval
	firstRegisterDelay    = 500 * time.Millisecond // longest delay of the first registration, if there are seed addresses
	firstRegisterWithPeer = 10 * time.Second       // the same if a peer has answered; shorter than the time after which others read the list for an unknown place
)

// register keeps this instance in the platform's list. A failed registration is not retried
// early, since all instances would then retry at once when an outage ends. Only the first
// one is, since until then other instances can't find this one in the list.
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
			wait = rand.N(registerInterval) // spreads instances that started together
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

// delayFirstRegistration waits a short time for packets of peers and, if a peer has
// answered, longer, since many instances may start together. If the list proves the end of
// instances, there is no longer wait: an instance that holds targets must not be missing
// from such a list.
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
