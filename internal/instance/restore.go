package instance

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/internal/wire"
	"github.com/firlever/firlever/platform"
)

// Times after the platform's store has come back from a copy of itself.
const (
	// restoreWindow is how long what the store holds confirms nothing, and operators' changes
	// are refused: all have noticed the return by then, and have written again what it has lost.
	restoreWindow = 5 * time.Second
	// restoreJitter is over how long those that have the same to write again begin; the first
	// saves the others their writes.
	restoreJitter = time.Second
	// reregisterJitter is over how long instances register again.
	reregisterJitter = 20 * time.Second
	// restoreInterval is between two writes of one instance.
	restoreInterval = 20 * time.Millisecond
	// writeRetention is how long, and mostOwnWrites how many, changes by operators through this
	// instance are kept in mind: a copy of the store is some seconds old.
	writeRetention = time.Minute
	maxOwnWrites   = 256
	// maxSuspects bounds the documents that are waiting to be compared with the store.
	maxSuspects = 1024
)

// restoration is what this instance knows of returns of the platform's store from copies. It is
// safe for concurrent use.
type restoration struct {
	mu      sync.Mutex
	epoch   uint64               // of the store, the latest that is known; 0: none; guarded by mu
	until   time.Time            // the store is being written again before; guarded by mu
	written map[string]time.Time // paths of changes through this instance, and until when they are kept in mind; guarded by mu

	roster   chan struct{} // tells that the roster is to be read
	register chan struct{} // tells that this instance is to be registered
	suspects chan string   // paths of documents that the store may have lost
}

func newRestoration() *restoration {
	return &restoration{
		written: make(map[string]time.Time),
		roster:  make(chan struct{}, 1), register: make(chan struct{}, 1), suspects: make(chan string, maxSuspects),
	}
}

// observe notes that the store is in an epoch. ago is how long ago a peer noticed that, below 0 if
// nobody says so. It returns the changes through this instance that the store may have lost, if
// this instance has seen it come back.
func (r *restoration) observe(now time.Time, epoch uint64, ago time.Duration) (restored bool, suspects []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	restored = r.epoch != 0 && epoch > r.epoch
	if epoch < r.epoch {
		return false, nil
	}
	if restored || ago >= 0 && epoch > 0 {
		r.until = later(r.until, now.Add(restoreWindow-max(ago, 0)))
	}
	r.epoch = epoch
	if !restored {
		return false, nil
	}
	for path, until := range r.written {
		if now.Before(until) {
			suspects = append(suspects, path)
		}
	}
	return true, suspects
}

// restoring says whether the store is being written again.
func (r *restoration) restoring(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.until)
}

// sinceRestore is how long ago the return of the store was sinceRestore; false if that was long ago, or
// never.
func (r *restoration) sinceRestore(now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ago := restoreWindow - r.until.Sub(now)
	return max(ago, 0), now.Before(r.until)
}

// recordWrite notes a change through this instance.
func (r *restoration) recordWrite(now time.Time, path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for old, until := range r.written {
		if !now.Before(until) || len(r.written) >= maxOwnWrites {
			delete(r.written, old)
		}
	}
	r.written[path] = now.Add(writeRetention)
}

// queueCheck has documents compared with the store.
func (r *restoration) queueCheck(paths ...string) {
	for _, path := range paths {
		select {
		case r.suspects <- path:
		default: // what is too much is left to others that hold it
		}
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// observeRevision notes that the platform's store is in the epoch of an answer.
func (in *Instance) observeRevision(at platform.Revision) { in.observeEpoch(at.Epoch(), -1) }

// observeEpoch notes that the platform's store is in an epoch, as a peer noticed so long ago; below
// 0 if nobody says so.
func (in *Instance) observeEpoch(epoch uint64, ago time.Duration) {
	restored, suspects := in.restoration.observe(in.now(), epoch, ago)
	if !restored {
		return
	}
	in.logRestored(epoch)
	in.restoration.queueCheck(suspects...)
	signal(in.restoration.roster)
	signal(in.restoration.register)
}

// queueMissing has the documents written again that a store which came back from a copy doesn't have,
// by all that it has.
func (in *Instance) queueMissing(entries []docstore.Entry) {
	stored := make(map[string]uint64, len(entries))
	for _, e := range entries {
		stored[e.Path] = e.Version
	}
	for _, doc := range in.docs.Documents() {
		if doc.Version > stored[doc.Path] {
			in.restoration.queueCheck(doc.Path)
		}
	}
}

// restoreLost writes documents again that the platform's store has lost.
func (in *Instance) restoreLost(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case path := <-in.restoration.suspects:
			sleep(ctx, rand.N(restoreJitter))
			in.restoreAll(ctx, path)
		}
	}
}

// restoreAll writes a document again, and all that wait.
func (in *Instance) restoreAll(ctx context.Context, path string) {
	var b backoff
	for more := true; more && ctx.Err() == nil; {
		if err := in.restoreDocument(ctx, path); err != nil {
			in.platformFailed("restore", err)
			in.restoration.queueCheck(path)
			b.wait(ctx)
		}
		sleep(ctx, restoreInterval)
		select {
		case path = <-in.restoration.suspects:
		default:
			more = false
		}
	}
}

// restoreDocument writes a document again if the store has an earlier version.
func (in *Instance) restoreDocument(ctx context.Context, path string) error {
	doc, ok := in.docs.Get(path)
	if !ok {
		return nil
	}
	value, err := docstore.EncodeRestored(doc)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return in.cfg.Store.Restore(ctx, docstore.Entry{Path: path, Version: doc.Version, Value: value})
}

// restoreRoster writes the roster again if the store has an earlier version. It says whether it
// had.
func (in *Instance) restoreRoster(ctx context.Context, stored uint64) (bool, error) {
	held := in.roster()
	if stored >= held.Version {
		return false, nil
	}
	value, err := held.Encode()
	if err != nil {
		return true, err
	}
	return true, in.cfg.Store.Restore(ctx, docstore.Entry{Path: rosterRoot + in.cfg.Place, Version: held.Version, Value: value})
}

// roster is the newest roster of the place that this instance knows.
func (in *Instance) roster() owner.Roster {
	var r owner.Roster
	in.dispatcher.Read(func(_ time.Time, n *core.Node) { r = n.Roster() })
	return r
}

// checkReceived has documents that came from peers compared with the store while it is written
// again: whoever wrote them may have ended.
func (in *Instance) checkReceived(paths []string) {
	if in.restoration.restoring(in.now()) && in.isWatcher() {
		in.restoration.queueCheck(paths...)
	}
}

// setRestored tells peers how long ago the return of the store was noticed here.
func (in *Instance) setRestored(p *wire.Packet) {
	if ago, ok := in.restoration.sinceRestore(in.now()); ok {
		p.Restored = uint32(ago/time.Millisecond) + 1
	}
}

// receiveEpoch takes in what a peer knows of the platform's store.
func (in *Instance) receiveEpoch(p *wire.Packet) {
	if p.Epoch == 0 {
		return // an instance of an earlier version, or one that knows nothing yet
	}
	ago := time.Duration(-1)
	if p.Restored > 0 {
		ago = time.Duration(p.Restored-1) * time.Millisecond
	}
	in.observeEpoch(p.Epoch, ago)
}

// RestoringError says that the platform's store has come back from a copy, and that what it has
// lost is being written again.
type RestoringError struct{}

func (*RestoringError) Error() string {
	return "instance: the platform's store lost what it held; it is being written again"
}
