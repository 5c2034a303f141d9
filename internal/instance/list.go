package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/firlever/firlever/internal/core"
)

// Times of registrations.
const (
	registerEvery = 30 * time.Second       // the longest between two, through outages too: all come back spread over it
	firstRegister = 500 * time.Millisecond // from the start to the first one, with peers to ask
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

func (in *Instance) learnOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := in.now()
	list, err := in.cfg.Store.Instances(ctx)
	if err != nil {
		return err
	}
	in.dispatcher.Step(core.Listed{Instances: list, Sent: sent})
	in.members.Learn(list)
	return nil
}
