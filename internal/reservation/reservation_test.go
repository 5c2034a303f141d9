package reservation

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var begin = time.Unix(1_000_000, 0)

// A burst of refused callers: moments are apart by what the reserved capacity requires, and callers that get
// none are told a time beyond that until which they wait.
func TestMomentsAreApart(t *testing.T) {
	const capacity = 40.0 // 10 moments a second
	s, rng := NewSchedule(0.5), rand.New(rand.NewPCG(1, 1))
	var moments []time.Time
	for i := range 2000 {
		now := begin.Add(time.Duration(i) * time.Millisecond)
		c := Caller{Hash: rng.Uint64(), NotBefore: now.Add(200 * time.Millisecond), Latest: now.Add(time.Second)}
		at, ok := s.Reserve(now, c, capacity)
		if ok == at.After(c.Latest) || at.Before(c.NotBefore) {
			t.Fatalf("caller %d: got %s and %t", i, at.Sub(now), ok)
		}
		if ok {
			moments = append(moments, at)
		}
	}
	for i, a := range moments {
		for _, b := range moments[:i] {
			if got, want := a.Sub(b).Abs(), 100*time.Millisecond; got < want {
				t.Fatalf("got two moments %s apart, want %s or more", got, want)
			}
		}
	}
	if len(moments) < 15 {
		t.Errorf("got %d moments in 2 s, want 15 or more of 20", len(moments))
	}
}

// The urgent class asks for all that is reserved: the others keep an eighth of it, and nothing changes for
// them if the urgent class doesn't ask. In 10 s, there are moments of 11 s.
func TestUrgentCallersFirst(t *testing.T) {
	tests := map[string]struct {
		urgent bool
		most   int
		least  int
	}{
		"others alone":  {false, 110, 70},
		"beside urgent": {true, 30, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, rng := NewSchedule(0), rand.New(rand.NewPCG(1, 1))
			got := 0
			for i := range 10_000 {
				now := begin.Add(time.Duration(i) * time.Millisecond)
				c := Caller{Hash: rng.Uint64(), Priority: 2, NotBefore: now, Latest: now.Add(time.Second)}
				if _, ok := s.Reserve(now, c, 40); ok {
					got++
				}
				if tt.urgent {
					c.Priority, c.Hash = 0, rng.Uint64()
					s.Reserve(now, c, 40)
				}
			}
			if got < tt.least || got > tt.most {
				t.Errorf("got %d moments in 10 s, want %d to %d", got, tt.least, tt.most)
			}
		})
	}
}

// Some callers return at once and often: what they can claim is bounded, whatever their hashes.
func TestClaimsAreBounded(t *testing.T) {
	const capacity = 40.0
	s, claimed := NewSchedule(0), 0
	for i := range 10_000 {
		if s.Claim(begin.Add(time.Duration(i)*time.Millisecond), Caller{Hash: math.MaxUint64}, capacity) {
			claimed++
		}
	}
	if most := int(capacity * reservedShare * claimFactor * 11); claimed > most {
		t.Errorf("got %d claims in 10 s, want %d at most", claimed, most)
	}
}

// No capacity is known, as nothing was served: nobody gets a moment, and nothing fails.
func TestNoCapacity(t *testing.T) {
	s := NewSchedule(0)
	for i := range 10 {
		now := begin.Add(time.Duration(i) * time.Second)
		if at, ok := s.Reserve(now, Caller{Hash: 1, Priority: -3, NotBefore: now, Latest: now.Add(time.Second)}, 0); i > 0 && (ok || !at.After(now)) {
			t.Errorf("got %s and %t, want a later time and false", at.Sub(now), ok)
		}
	}
}

// Callers arrive with 0.8 to 1 of their time. Those that return with a third less are recognised, also when
// there are as many of them as of others.
func TestReturnsAreRecognized(t *testing.T) {
	const whole = 4 * time.Second
	for _, share := range []float64{0, 0.1, 0.5} {
		c, rng := new(Callers), rand.New(rand.NewPCG(1, 1))
		wrong, missed := 0, 0
		for i := range 20_000 {
			now := begin.Add(time.Duration(i) * 10 * time.Millisecond)
			left := time.Duration((1 - 0.2*rng.Float64()) * float64(whole))
			returned := rng.Float64() < share
			if returned {
				left = left * 2 / 3
			}
			switch got := c.Arrived(now, left); {
			case i < 2000:
			case got && !returned:
				wrong++
			case !got && returned:
				missed++
			}
		}
		if wrong > 900 || missed > 900 {
			t.Errorf("%.1f returned: got %d first attempts and %d returns mistaken of 18,000, want 900 at most of each", share, wrong, missed)
		}
	}
}
