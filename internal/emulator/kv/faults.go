package kv

import (
	"time"

	"github.com/firlever/firlever/internal/platform"
)

// Faults are what goes wrong. The zero value is a service without faults.
type Faults struct {
	Outage     time.Time     // no call succeeds before this deadline
	Hang       bool          // during an outage, calls get no answer instead of a refusal
	Slow       time.Time     // calls are answered late before this deadline
	Delay      time.Duration // how late
	LoseNext   int           // so many of the next writes land while their answer is lost
	LoseShare  float64       // 0 to 1; share of the other writes whose answer is lost
	LeaseShare float64       // 0 to 1; share of its time that a lease really lasts; 0 means all
}

// Fate is how a call is to be answered.
type Fate struct {
	Hang   bool      // nothing is done, and no answer given
	Lost   bool      // the write is done, and its answer lost
	Answer time.Time // when the answer is given
}

// OutageError is the cause of a call that failed in an outage.
type OutageError struct{ Until time.Time }

func (e *OutageError) Error() string { return "kv: outage until " + e.Until.Format(time.RFC3339Nano) }

// LostError is the cause of a write that landed while its answer was lost.
type LostError struct{}

func (e *LostError) Error() string { return "kv: answer lost" }

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) { s.faults = f }

// Faults returns the faults in force; LoseNext counts down.
func (s *Service) Faults() Faults { return s.faults }

// Begin takes up a call: it counts it and decides its fate. Unless there is an
// error or the fate is to hang, the call's own method comes next. Errors are
// *platform.UnavailableError and *platform.BusyError.
func (s *Service) Begin(c Call, now time.Time) (Fate, error) {
	n := &s.counts[c]
	n.Calls++
	if err := s.Down(c, now); err != nil {
		n.Failed++
		if s.faults.Hang {
			return Fate{Hang: true}, nil
		}
		return Fate{}, err
	}
	if !s.bucket(c).take(now) {
		n.Busy++
		return Fate{}, &platform.BusyError{Call: c.String()}
	}
	f := Fate{Answer: now}
	if now.Before(s.faults.Slow) {
		f.Answer = now.Add(s.faults.Delay)
	}
	if c.writes() && s.loses() {
		f.Lost = true
		n.Lost++
	}
	return f, nil
}

// Down returns a *platform.UnavailableError during an outage. A watch asks it
// again while it waits.
func (s *Service) Down(c Call, now time.Time) error {
	if now.Before(s.faults.Outage) {
		return &platform.UnavailableError{Call: c.String(), Err: &OutageError{Until: s.faults.Outage}}
	}
	return nil
}

func (s *Service) loses() bool {
	if s.faults.LoseNext > 0 {
		s.faults.LoseNext--
		return true
	}
	return s.faults.LoseShare > 0 && s.rand.Float64() < s.faults.LoseShare
}

func (s *Service) leaseEnd(now time.Time, ttl time.Duration) time.Time {
	if s.faults.LeaseShare > 0 {
		ttl = time.Duration(float64(ttl) * s.faults.LeaseShare)
	}
	return now.Add(ttl)
}
