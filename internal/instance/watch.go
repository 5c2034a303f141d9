package instance

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/pkg/settings"
	"github.com/firlever/firlever/platform"
)

// Times and bounds of calls to the platform.
const (
	watchWait    = 5 * time.Second // longest wait of one watch call; its end confirms the documents, and half of spreadBound is left to tell peers
	callTimeout  = 2 * time.Second // timeout of any other call, and of the beginning of a watch's answer after its wait
	receiveLimit = time.Minute     // longest time in which documents are received from the platform's store by one call
	minBackoff   = 200 * time.Millisecond
	maxBackoff   = 10 * time.Second
	watcherCheck = time.Second            // interval at which instances that do not watch check whether they should
	watchPause   = 600 * time.Millisecond // pause after changes, so that a series of them does not cost a call each
	watchers     = 2                      // instances of a domain that watch the platform's store; the others get changes from peers
	rosterRoot   = "/rosters/"
)

// backoff computes the waits between retries. Each wait is jittered, so that instances do
// not retry calls to the platform at the same time.
type backoff struct{ next time.Duration }

func (b *backoff) reset() { b.next = 0 }

func (b *backoff) wait(ctx context.Context) { sleep(ctx, b.step()) }

// step returns the next wait.
func (b *backoff) step() time.Duration {
	b.next = min(max(b.next*2, minBackoff), maxBackoff)
	return jittered(b.next)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// jittered returns a random duration between half of d and d, so that many instances don't
// act at once.
func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// watch loads all documents at the start and then follows the platform's store: by a watch
// call if this instance is one of its domain's watchers; the other instances get changes
// from them.
func (in *Instance) watch(ctx context.Context) {
	discovered := in.now().Add(jittered(in.discoveryWait()))
	in.loadDocuments(ctx)
	sleep(ctx, discovered.Sub(in.now()))
	var b backoff
	for ctx.Err() == nil {
		if !in.isWatcher() {
			sleep(ctx, jittered(watcherCheck))
			continue
		}
		changed, err := in.watchOnce(ctx)
		if err != nil {
			in.platformFailed("watch", err)
			b.wait(ctx)
			continue
		}
		b.reset()
		if changed {
			sleep(ctx, jittered(watchPause))
		}
	}
}

// watchOnce waits for changes after the revision up to which the documents held are
// complete, whatever their source.
func (in *Instance) watchOnce(ctx context.Context) (changed bool, err error) {
	ctx, cancel := receiveAll(ctx, watchWait+callTimeout)
	defer cancel()
	_, after := in.docs.Progress()
	sent := in.now()
	entries, next, err := in.cfg.Store.Watch(ctx, "/", after, watchWait)
	if err != nil {
		return false, err
	}
	if !after.IsZero() && next.Epoch() > after.Epoch() {
		in.queueMissing(entries)
	}
	in.applyEntries(entries)
	in.docs.Complete(next)
	in.confirmByStore(watchAnsweredAt(sent, in.now(), len(entries) > 0))
	return len(entries) > 0, nil
}

// receiveAll returns the context of a call whose answer may be long. It must begin within a time, and
// may then go on while it arrives.
func receiveAll(ctx context.Context, within time.Duration) (context.Context, context.CancelFunc) {
	limited, cancel := context.WithTimeout(ctx, within+receiveLimit)
	received, stop := platform.WhileReceiving(limited, within, listTimeout)
	return received, func() {
		stop()
		cancel()
	}
}

// applyEntries applies entries of the platform's store, documents and rosters.
func (in *Instance) applyEntries(entries []docstore.Entry) {
	var docs []settings.Document
	for _, e := range entries {
		if strings.HasPrefix(e.Path, rosterRoot) {
			in.applyRoster(e)
			continue
		}
		if doc, err := docstore.DecodeDocument(e); err == nil {
			docs = append(docs, doc)
		}
	}
	in.applyDocuments(docs)
}

// applyRoster passes this place's roster from a watch to the node. A watch may be late, so
// it confirms nothing.
func (in *Instance) applyRoster(e docstore.Entry) {
	if e.Path != rosterRoot+in.cfg.Place {
		return
	}
	if r, err := owner.Decode(e.Value, e.Version); err == nil {
		in.dispatcher.Step(core.RosterReceived{Roster: r})
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
