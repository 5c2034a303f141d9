package instance

import (
	"context"
	"errors"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/internal/platform"
)

// How often the platform's copy of the roster is read.
const (
	rosterSoon = 700 * time.Millisecond // while peers' acks do not confirm this instance's rights
	rosterSlow = 30 * time.Second       // while they do
	rosterTick = 100 * time.Millisecond
)

// tendRoster reads the place's roster when the rights that it gives need it, and
// carries out the changes that the node asks for.
func (in *Instance) tendRoster(ctx context.Context) {
	var b backoff
	var read time.Time // when the roster was last read; zero asks for it at once
	tick := time.NewTicker(rosterTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-in.swaps:
			in.swapRoster(ctx, d)
			read = time.Time{}
		case <-tick.C:
		}
		if in.now().Before(in.rosterDue(read)) {
			continue
		}
		if err := in.readRoster(ctx); err != nil {
			in.platformFailed("roster", err)
			b.wait(ctx)
			continue
		}
		b.reset()
		read = in.now()
	}
}

// rosterNamed notes the version of the roster that a peer of the place has.
func (in *Instance) rosterNamed(version uint64) {
	for {
		heard := in.heardRoster.Load()
		if version <= heard || in.heardRoster.CompareAndSwap(heard, version) {
			return
		}
	}
}

// rosterNews says whether a peer has a newer roster than this instance. Its
// acks still confirm this instance's rights, so nothing else would tell in time.
func (in *Instance) rosterNews() bool {
	var held uint64
	in.desk.Read(func(_ time.Time, n *core.Node) { held = n.Roster().Version })
	return in.heardRoster.Load() > held
}

// rosterDue is when the roster has to be read next.
func (in *Instance) rosterDue(read time.Time) time.Time {
	if read.IsZero() {
		return read
	}
	if in.confirmed() && !in.rosterNews() {
		return read.Add(rosterSlow)
	}
	return read.Add(rosterSoon)
}

func (in *Instance) confirmed() bool {
	var ok bool
	in.desk.Read(func(now time.Time, n *core.Node) { ok = n.Confirmed(now) })
	return ok
}

func (in *Instance) readRoster(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := in.now()
	e, err := in.cfg.Store.Get(ctx, rosterRoot+in.cfg.Place)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		in.desk.Step(core.RosterRead{Sent: sent})
		return nil
	}
	if err != nil {
		return err
	}
	r, err := owner.Decode(e.Value, e.Version)
	if err != nil {
		return err
	}
	in.desk.Step(core.RosterRead{Roster: r, Sent: sent})
	return nil
}

// swapRoster writes a roster by compare-and-swap. Whatever comes of it, the
// roster is read again afterwards.
func (in *Instance) swapRoster(ctx context.Context, d core.SwapRoster) {
	value, err := d.Next.Encode()
	if err != nil {
		in.logError("roster", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = in.cfg.Store.Swap(ctx, rosterRoot+in.cfg.Place, d.Next.Version-1, value)
	in.logSwap(d, err)
	var uncertain *platform.UncertainError
	if err == nil || errors.As(err, &uncertain) || d.Removed == "" {
		return
	}
	in.desk.Step(core.SwapFailed{Removed: d.Removed})
}
