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

// Times and bounds of the recovery after the platform's store was restored from a snapshot.
const (
	// restoreWindow is how long after a restore reads of the store confirm nothing and
	// operators' changes are refused: by its end, all instances have observed the restore
	// and have written the lost changes again.
	restoreWindow = 5 * time.Second
	// restoreJitter is the longest random delay before an instance writes a document again.
	// The first write saves the other instances theirs.
	restoreJitter = time.Second
	// reregisterJitter is the longest random delay before an instance registers again.
	reregisterJitter = 20 * time.Second
	// restoreInterval is the time between two writes of one instance.
	restoreInterval = 20 * time.Millisecond
	// writeRetention is how long changes by operators through this instance are remembered,
	// and maxOwnWrites how many: a snapshot of the store is some seconds old.
	writeRetention = time.Minute
	maxOwnWrites   = 256
	// maxSuspects bounds the queue of documents that are to be compared with the store.
	maxSuspects = 1024
)

// restoration tracks restores of the platform's store from snapshots. It is safe for
// concurrent use.
type restoration struct {
	mu      sync.Mutex
	epoch   uint64               // latest known epoch of the store; 0 for none; guarded by mu
	until   time.Time            // end of the recovery of the store; guarded by mu
	written map[string]time.Time // changes through this instance, path to the end of their retention; guarded by mu

	roster   chan struct{} // signals that the roster must be read
	register chan struct{} // signals that this instance must register
	suspects chan string   // paths of documents that the store may have lost
}

func newRestoration() *restoration {
	return &restoration{
		written: make(map[string]time.Time),
		roster:  make(chan struct{}, 1), register: make(chan struct{}, 1), suspects: make(chan string, maxSuspects),
	}
}

// observe records that the store is in an epoch. ago is the time since a peer observed
// that, negative if no peer reported it. It returns whether this instance has now observed
// a restore and, if so, the changes through this instance that the store may have lost.
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

// restoring reports whether lost changes are still being written again.
func (r *restoration) restoring(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.until)
}

// sinceRestore returns how long ago a restore of the store was observed. It returns false
// if there was none within restoreWindow.
func (r *restoration) sinceRestore(now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ago := restoreWindow - r.until.Sub(now)
	return max(ago, 0), now.Before(r.until)
}

// recordWrite remembers a change through this instance.
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

// queueCheck queues documents to be compared with the store.
func (r *restoration) queueCheck(paths ...string) {
	for _, path := range paths {
		select {
		case r.suspects <- path:
		default: // the queue is full; other instances that hold the document write it
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

// observeRevision records the store's epoch in an answer.
func (in *Instance) observeRevision(at platform.Revision) { in.observeEpoch(at.Epoch(), -1) }

// observeEpoch records that the platform's store is in an epoch. ago is the time since a
// peer observed that, negative if no peer reported it. If it shows a restore, the recovery
// starts.
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

// queueMissing queues the documents that a restored store lacks or has at an earlier
// version. entries are all that it holds.
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

// restoreLost writes documents again that the platform's store may have lost.
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

// restoreAll writes a document again, and then all that are queued.
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

// restoreDocument writes a document again if the store has an earlier version or none.
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

// restoreRoster writes the roster again if the store has an earlier version, and reports
// whether it had.
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

// roster returns the newest known roster of the place.
func (in *Instance) roster() owner.Roster {
	var r owner.Roster
	in.dispatcher.WithNode(func(_ time.Time, n *core.Node) { r = n.Roster() })
	return r
}

// checkReceived queues documents received from peers to be compared with the store during a
// recovery: the instance that wrote them may have ended.
func (in *Instance) checkReceived(paths []string) {
	if in.restoration.restoring(in.now()) && in.isWatcher() {
		in.restoration.queueCheck(paths...)
	}
}

// setRestored adds to a packet how long ago this instance observed a restore of the store.
func (in *Instance) setRestored(p *wire.Packet) {
	if ago, ok := in.restoration.sinceRestore(in.now()); ok {
		p.Restored = uint32(ago/time.Millisecond) + 1
	}
}

// receiveEpoch processes a peer's view of the store's epoch.
func (in *Instance) receiveEpoch(p *wire.Packet) {
	if p.Epoch == 0 {
		return // the peer runs an earlier version or has not observed an epoch yet
	}
	ago := time.Duration(-1)
	if p.Restored > 0 {
		ago = time.Duration(p.Restored-1) * time.Millisecond
	}
	in.observeEpoch(p.Epoch, ago)
}

// RestoringError reports that the platform's store was restored from a snapshot, and that
// the changes that it lost are still being written again.
type RestoringError struct{}

func (*RestoringError) Error() string {
	return "instance: the platform's store was restored from a snapshot; lost changes are being written again"
}
