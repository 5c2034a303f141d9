package kv

import (
	"time"

	"github.com/firlever/firlever/internal/platform"
)

// lease is a lease as the service knows it. It is kept after it has lapsed, so
// that epochs never go back.
type lease struct {
	holder string
	epoch  uint64
	until  time.Time // may be before what the holder believes
}

func (l lease) held(now time.Time) bool { return now.Before(l.until) }

// Acquire takes a lease that nobody holds, at a new epoch, or renews that of
// its holder. The lease returned ends when its holder believes it does.
func (s *Service) Acquire(path, holder string, ttl time.Duration, now time.Time) (platform.Lease, error) {
	if err := checkLease(path, holder, ttl); err != nil {
		return platform.Lease{}, err
	}
	l := s.leases[path]
	switch {
	case !l.held(now):
		l.epoch++
		l.holder = holder
	case l.holder != holder:
		return platform.Lease{}, &platform.HeldError{Path: path, Holder: l.holder}
	}
	l.until = s.leaseEnd(now, ttl)
	s.leases[path] = l
	return platform.Lease{Path: path, Holder: holder, Epoch: l.epoch, Until: now.Add(ttl)}, nil
}

func checkLease(path, holder string, ttl time.Duration) error {
	if err := platform.CheckPath("Acquire", path); err != nil {
		return err
	}
	if holder == "" || len(holder) > platform.MaxPath {
		return &platform.InvalidError{Call: "Acquire", Reason: "holder missing or too long"}
	}
	if ttl <= 0 {
		return &platform.InvalidError{Call: "Acquire", Reason: "ttl is not positive"}
	}
	return nil
}

// Release ends a lease. One that has passed to another holder or a later epoch
// gives *platform.HeldError; one that has lapsed is released already.
func (s *Service) Release(held platform.Lease, now time.Time) error {
	l := s.leases[held.Path]
	if !l.held(now) {
		return nil
	}
	if l.holder != held.Holder || l.epoch != held.Epoch {
		return &platform.HeldError{Path: held.Path, Holder: l.holder}
	}
	s.Lapse(held.Path)
	return nil
}

// Lapse ends a lease at once, while its holder still believes in it.
func (s *Service) Lapse(path string) {
	l, ok := s.leases[path]
	if !ok {
		return
	}
	l.until = time.Time{}
	s.leases[path] = l
}
