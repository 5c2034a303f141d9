package instance

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/internal/wire"
)

// Intervals between reads of the platform's copy of the roster. After each read a factor
// between a half and 1 is drawn, by which they are multiplied.
const (
	rosterUnconfirmed = 900 * time.Millisecond // while peers' acks do not confirm this instance's ownership leases
	rosterConfirmed   = 30 * time.Second       // while they do
	rosterRetry       = 5 * time.Second        // after a failed read, while they do not
	confirmMargin     = time.Second            // time before the leases expire at which the platform is read
	rosterTick        = 100 * time.Millisecond
	rosterFirst       = 2 * time.Second // longest delay of the first read, if there are seed addresses: instances that start together would conflict in their writes
)

// maintainRoster reads the place's roster when the leases that it confirms need it, and
// writes the changes that the node decides on.
func (in *Instance) maintainRoster(ctx context.Context) {
	if len(in.cfg.Join) > 0 {
		sleep(ctx, rand.N(rosterFirst))
	}
	var read time.Time // last read of the roster; zero makes it due at once
	failed, factor := false, 1.0
	tick := time.NewTicker(rosterTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-in.rosterSwaps:
			in.swapRoster(ctx, d)
			read = time.Time{}
		case p := <-in.newerRosterPeers:
			if !in.pullRoster(ctx, p) {
				read = time.Time{}
			}
		case <-in.restoration.roster:
			sleep(ctx, rand.N(restoreWindow))
			read = time.Time{}
		case <-tick.C:
		}
		wait := time.Duration(factor * float64(in.rosterWait(failed)))
		if in.now().Before(read.Add(wait)) {
			continue
		}
		err := in.readRoster(ctx)
		if failed = err != nil; failed {
			in.platformFailed("roster", err)
		}
		read, factor = in.now(), 0.5+rand.Float64()/2
	}
}

// rosterWait returns the longest time from a read of the roster to the next. It is longer
// while acks of peers confirm this instance's leases.
func (in *Instance) rosterWait(failed bool) time.Duration {
	switch {
	case in.confirmed():
		return rosterConfirmed
	case failed:
		return rosterRetry
	}
	return rosterUnconfirmed
}

// noteNewerRoster queues a peer of the place as a source if its roster is newer.
func (in *Instance) noteNewerRoster(version uint64, peer docstore.Instance) {
	var held uint64
	in.dispatcher.WithNode(func(_ time.Time, n *core.Node) { held = n.Roster().Version })
	if version <= held {
		return
	}
	select {
	case in.newerRosterPeers <- peer:
	default: // another peer is queued already
	}
}

// pullRoster fetches the place's roster from a peer, without a call to the platform. It
// confirms no leases.
func (in *Instance) pullRoster(ctx context.Context, p docstore.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	path := rosterRoot + in.cfg.Place
	resp, err := in.peerClient(p.PeerAddress).Fetch(ctx, &wire.FetchRequest{Paths: []string{path}})
	if err != nil || len(resp.Documents) != 1 || resp.Documents[0].Path != path {
		return false
	}
	r, err := owner.Decode(resp.Documents[0].Value, resp.Documents[0].Version)
	if err != nil {
		return false
	}
	in.dispatcher.Step(core.RosterReceived{Roster: r})
	return true
}

// ownRoster returns the place's roster as a document for peers of the place, nil if it is
// not known.
func (in *Instance) ownRoster() *wire.Document {
	r := in.roster()
	value, err := r.Encode()
	if err != nil || r.Version == 0 {
		return nil
	}
	return &wire.Document{Path: rosterRoot + in.cfg.Place, Version: r.Version, Value: value}
}

// confirmed reports whether the leases are confirmed now and for confirmMargin.
func (in *Instance) confirmed() bool {
	var ok bool
	in.dispatcher.WithNode(func(now time.Time, n *core.Node) { ok = n.Confirmed(now.Add(confirmMargin)) })
	return ok
}

func (in *Instance) readRoster(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := in.now()
	e, err := in.cfg.Store.Get(ctx, rosterRoot+in.cfg.Place)
	var missing *docstore.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	if behind, err := in.restoreRoster(ctx, e.Version); behind || err != nil {
		return err
	}
	var r owner.Roster
	if e.Version > 0 {
		if r, err = owner.Decode(e.Value, e.Version); err != nil {
			return err
		}
	}
	if in.restoration.restoring(sent) {
		in.dispatcher.Step(core.RosterReceived{Roster: r}) // other instances may have a later one
		return nil
	}
	in.dispatcher.Step(core.RosterRead{Roster: r, Sent: sent})
	return nil
}

// swapRoster writes a roster by compare-and-swap. Whatever the result, the caller reads the
// roster again afterwards.
func (in *Instance) swapRoster(ctx context.Context, d core.SwapRoster) {
	if in.restoration.restoring(in.now()) {
		in.dispatcher.Step(core.SwapFailed{Removed: d.Removed})
		return
	}
	value, err := d.Next.Encode()
	if err != nil {
		in.logError("roster", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = in.cfg.Store.Swap(ctx, rosterRoot+in.cfg.Place, d.Next.Version-1, value)
	in.logRosterSwap(d, err)
	var uncertain *docstore.UncertainError
	if err == nil || errors.As(err, &uncertain) || d.Removed == "" {
		return
	}
	in.dispatcher.Step(core.SwapFailed{Removed: d.Removed})
}
