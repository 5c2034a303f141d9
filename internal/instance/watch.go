package instance

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/internal/platform"
	"github.com/firlever/firlever/pkg/settings"
)

// How the platform is called.
const (
	watchWait   = 20 * time.Second // of one waiting watch
	callTimeout = 2 * time.Second  // of any other call
	backoffLow  = 200 * time.Millisecond
	backoffHigh = 10 * time.Second
	watchers    = 2 // instances of a domain that watch the platform; the others ask peers
	rosterRoot  = "/rosters/"
)

// backoff spaces tries after failures; each wait is jittered so that instances
// don't come back to the platform together.
type backoff struct{ next time.Duration }

func (b *backoff) reset() { b.next = 0 }

func (b *backoff) wait(ctx context.Context) {
	b.next = min(max(b.next*2, backoffLow), backoffHigh)
	sleep(ctx, b.next/2+rand.N(b.next/2))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// watch follows the platform's documents: by a waiting watch if this instance
// is one of its domain's watchers, else it leaves that to them. Each instance
// reads all documents once at its start.
func (in *Instance) watch(ctx context.Context) {
	var b backoff
	var after uint64
	for ctx.Err() == nil {
		if after > 0 && !in.isWatcher() {
			sleep(ctx, time.Second)
			continue
		}
		next, err := in.watchOnce(ctx, after)
		if err != nil {
			in.platformFailed("watch", err)
			b.wait(ctx)
			continue
		}
		b.reset()
		after = next
	}
}

func (in *Instance) watchOnce(ctx context.Context, after uint64) (uint64, error) {
	if after == 0 {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		entries, revision, err := in.cfg.Store.List(ctx, "/")
		if err != nil {
			return 0, err
		}
		in.takeEntries(entries)
		return max(revision, 1), nil
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	entries, next, err := in.cfg.Store.Watch(ctx, "/", after, watchWait)
	if err != nil {
		return 0, err
	}
	in.takeEntries(entries)
	return max(next, 1), nil
}

// takeEntries sorts entries of the platform into documents and rosters.
func (in *Instance) takeEntries(entries []platform.Entry) {
	var docs []settings.Document
	for _, e := range entries {
		if strings.HasPrefix(e.Path, rosterRoot) {
			in.takeRoster(e)
			continue
		}
		if doc, err := platform.DecodeDocument(e); err == nil {
			docs = append(docs, doc)
		}
	}
	in.takeDocuments(docs)
}

// takeRoster takes in this place's roster from a watch. A watch may be late, so
// it confirms nothing.
func (in *Instance) takeRoster(e platform.Entry) {
	if e.Path != rosterRoot+in.cfg.Place {
		return
	}
	if r, err := owner.Decode(e.Value, e.Version); err == nil {
		in.desk.Step(core.RosterHeard{Roster: r})
	}
}
