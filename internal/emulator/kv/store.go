package kv

import (
	"context"
	"time"

	"github.com/firlever/firlever/internal/platform"
)

// Get reads one path.
func (l *Local) Get(ctx context.Context, path string) (platform.Entry, error) {
	return run(ctx, l, Get, path, func(s *Service, _ time.Time) (platform.Entry, error) {
		return s.Get(path)
	})
}

// page is some entries and the revision that they are true at.
type page struct {
	entries  []platform.Entry
	revision uint64
}

// List reads every entry under a prefix.
func (l *Local) List(ctx context.Context, prefix string) ([]platform.Entry, uint64, error) {
	p, err := run(ctx, l, List, prefix, func(s *Service, _ time.Time) (page, error) {
		entries, revision := s.List(prefix)
		return page{entries: entries, revision: revision}, nil
	})
	return p.entries, p.revision, err
}

// Swap writes value if the path still has the given version.
func (l *Local) Swap(ctx context.Context, path string, version uint64, value []byte) (platform.Entry, error) {
	return run(ctx, l, Swap, path, func(s *Service, _ time.Time) (platform.Entry, error) {
		return s.Swap(path, version, value)
	})
}

// Delete removes a path if it still has the given version.
func (l *Local) Delete(ctx context.Context, path string, version uint64) (platform.Entry, error) {
	return run(ctx, l, Delete, path, func(s *Service, _ time.Time) (platform.Entry, error) {
		return s.Delete(path, version)
	})
}

// Acquire takes or renews a lease.
func (l *Local) Acquire(ctx context.Context, path, holder string, ttl time.Duration) (platform.Lease, error) {
	return run(ctx, l, Acquire, path, func(s *Service, now time.Time) (platform.Lease, error) {
		return s.Acquire(path, holder, ttl, now)
	})
}

// Release gives a lease up.
func (l *Local) Release(ctx context.Context, lease platform.Lease) error {
	_, err := run(ctx, l, Release, lease.Path, func(s *Service, now time.Time) (platform.Lease, error) {
		return lease, s.Release(lease, now)
	})
	return err
}

// Register puts an instance in the list, or renews its line.
func (l *Local) Register(ctx context.Context, in platform.Instance) error {
	_, err := run(ctx, l, Register, in.ID, func(s *Service, now time.Time) (platform.Instance, error) {
		return in, s.Register(in, now)
	})
	return err
}

// Instances reads the list of instances.
func (l *Local) Instances(ctx context.Context) ([]platform.Instance, error) {
	return run(ctx, l, Instances, "", func(s *Service, now time.Time) ([]platform.Instance, error) {
		return s.Instances(now), nil
	})
}

// Watch waits for entries under prefix past a revision.
func (l *Local) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Entry, uint64, error) {
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	p, err := run(ctx, l, Watch, prefix, func(s *Service, _ time.Time) (page, error) {
		entries, revision := s.Changes(prefix, after)
		return page{entries: entries, revision: revision}, nil
	})
	for err == nil && len(p.entries) == 0 && wait > 0 {
		looked, wake := l.look(prefix, after)
		if p = looked; len(p.entries) > 0 {
			break
		}
		select {
		case <-wake:
			err = l.down(ctx)
		case <-timer.C:
			return nil, p.revision, nil
		case <-ctx.Done():
			err = unanswered(Watch, prefix, ctx.Err())
		}
	}
	if err != nil {
		return nil, after, err
	}
	return p.entries, p.revision, nil
}

// look is a waiting watch's look, which counts no call; wake is closed when it
// has to look again.
func (l *Local) look(prefix string, after uint64) (p page, wake <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.entries, p.revision = l.service.Changes(prefix, after)
	return p, l.wake
}

// down ends a waiting watch when an outage begins.
func (l *Local) down(ctx context.Context) error {
	l.mu.Lock()
	err := l.service.Down(Watch, l.clock())
	hang := l.service.Faults().Hang
	l.mu.Unlock()
	if err != nil && hang {
		<-ctx.Done()
	}
	return err
}
