package quota

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"
)

// newLedger returns a ledger of one of three equal instances, whose bucket has been filling for a
// minute.
func newLedger(t *testing.T, now time.Time, self string, limit Limit) *Ledger {
	t.Helper()
	l, err := New(Config{Self: self, Domain: self, Region: "r", Bounds: Bounds{Window: 5 * time.Second, OverRatio: 0.1, Slack: 20}})
	if err != nil {
		t.Fatal(err)
	}
	l.SetLimits(map[string]Limit{"w": limit})
	l.SetMembers(now, threeMembers())
	l.StartFilling(now.Add(-time.Minute), false)
	return l
}

func threeMembers() []Member {
	return []Member{
		{Name: "a", Domain: "a", Region: "r", Address: "1", Size: 1},
		{Name: "b", Domain: "b", Region: "r", Address: "2", Size: 1},
		{Name: "c", Domain: "c", Region: "r", Address: "3", Size: 1},
	}
}

// drain takes tokens until there are none, and returns how many it took.
func drain(l *Ledger, now time.Time) int {
	n := 0
	for l.Take(now, "w").Allowed {
		n++
	}
	return n
}

func TestNoLimit(t *testing.T) {
	l := newLedger(t, simulationStart, "a", Limit{Rate: 1})
	for range 1000 {
		if d := l.Take(simulationStart, "another"); !d.Allowed || d.Limited {
			t.Fatalf("got %+v for a workspace without a limit", d)
		}
	}
}

// Buckets are empty at the start, and those of a newcomer for longer.
func TestBegin(t *testing.T) {
	for name, newcomer := range map[string]bool{"newcomer": true, "known before": false} {
		t.Run(name, func(t *testing.T) {
			l, err := New(Config{Self: "a", Bounds: Bounds{Slack: 20}})
			if err != nil {
				t.Fatal(err)
			}
			l.SetLimits(map[string]Limit{"w": {Rate: 10, Burst: 10}})
			l.SetMembers(simulationStart, []Member{{Name: "a", Size: 1}})
			if got := drain(l, simulationStart.Add(time.Hour)); got != 0 {
				t.Errorf("got %d tokens before the start, want none", got)
			}
			l.StartFilling(simulationStart, newcomer)
			got := drain(l, simulationStart.Add(newcomerDelay))
			if (got == 0) != newcomer {
				t.Errorf("got %d tokens after %s, want none: %t", got, newcomerDelay, newcomer)
			}
		})
	}
}

// What an instance gives or lends is removed from its own bucket.
func TestGive(t *testing.T) {
	now := simulationStart
	a, b := newLedger(t, now, "a", Limit{Rate: 90, Burst: 90}), newLedger(t, now, "b", Limit{Rate: 90, Burst: 90})
	c := newLedger(t, now, "c", Limit{Rate: 90, Burst: 90})
	whole := drain(c, now)
	for range 2 * whole {
		a.Take(now, "w")
	}
	d := a.Take(now, "w")
	if d.Allowed || len(d.Holders) != 2 || d.Want.Tokens < 2 || d.Want.Rate <= 0 {
		t.Fatalf("got %+v of an empty bucket with demand, want to ask two for tokens and a rate", d)
	}
	g := b.Give(now, "w", d.Want)
	if g.Tokens < 1 || g.Tokens > d.Want.Tokens || g.Rate <= 0 || g.Rate > d.Want.Rate {
		t.Fatalf("got %+v, want some of %+v", g, d.Want)
	}
	a.Receive(now, now, "w", d.Holders[0], d.Want, g)
	if got := drain(a, now) + drain(b, now); got > whole {
		t.Errorf("got %d tokens of the giving and the receiving bucket, want %d at most", got, whole)
	}
	later := now.Add(time.Second)
	if got, want := drain(a, later)+drain(b, later), 2*drain(c, later); math.Abs(float64(got-want)) > 2 {
		t.Errorf("got %d tokens a second of both, want about %d", got, want)
	}
	late := newLedger(t, now, "a", Limit{Rate: 90, Burst: 90})
	drain(late, now)
	late.Receive(now, now.Add(-tokenLifetime), "w", d.Holders[0], d.Want, Grant{Tokens: 5})
	if got := late.Retry(now, "w"); got.Allowed {
		t.Errorf("got %+v with tokens that arrived too late", got)
	}
}

// A holder that gave nothing is not asked again at once; the others are asked meanwhile.
func TestAsksOthers(t *testing.T) {
	l := newLedger(t, simulationStart, "a", Limit{Rate: 90, Burst: 90})
	drain(l, simulationStart)
	first := l.Take(simulationStart, "w").Holders
	l.Receive(simulationStart, simulationStart, "w", first[0], Want{Tokens: 1}, Grant{RetryAfter: time.Second})
	if next := l.Take(simulationStart, "w").Holders; len(next) != 1 || next[0] != first[1] {
		t.Errorf("got %v asked after %v gave nothing", next, first[0])
	}
	if again := l.Take(simulationStart.Add(emptyBackoff), "w"); !again.Allowed && len(again.Holders) != 2 {
		t.Errorf("got %v asked after the back-off, want both", again.Holders)
	}
}

// Refused callers get different times to retry, none of them beyond what callers follow.
func TestRetryAfterIsSpread(t *testing.T) {
	l := newLedger(t, simulationStart, "a", Limit{Rate: 30, Burst: 30})
	drain(l, simulationStart)
	seen := make(map[time.Duration]int)
	for range 10 {
		d := l.Retry(simulationStart, "w")
		if d.Allowed || d.RetryAfter < minRetryAfter || d.RetryAfter > maxRetryAfter {
			t.Fatalf("got %+v", d)
		}
		seen[d.RetryAfter]++
	}
	if len(seen) < 9 {
		t.Errorf("got %d times for 10 callers, want one for each", len(seen))
	}
}

// The token of a request that never ran is available to another one.
func TestReturn(t *testing.T) {
	l := newLedger(t, simulationStart, "a", Limit{Rate: 30, Burst: 30})
	whole := drain(l, simulationStart)
	l.Return(simulationStart, "w")
	if got := drain(l, simulationStart); got != 1 {
		t.Errorf("got %d tokens after one was returned, want 1", got)
	}
	for range 2 * whole {
		l.Return(simulationStart, "w")
	}
	if got := drain(l, simulationStart); got > whole {
		t.Errorf("got %d tokens, want %d at most", got, whole)
	}
}

// All instances choose the same holders: as many as can hold some tokens each, one in each failure
// domain before a second in any, and the large machines first.
func TestHolders(t *testing.T) {
	var members []Member
	for i := range 60 {
		m := Member{Name: string(rune('A' + i)), Domain: string(rune('0' + i%6)), Size: 0.05}
		if i < 12 {
			m.Size = 1
		}
		members = append(members, m)
	}
	for name, tt := range map[string]struct {
		stock     float64
		want      int
		wantLarge int
	}{
		"nothing": {stock: 0, want: 1, wantLarge: 1},
		"little":  {stock: 9, want: 2, wantLarge: 2},
		"some":    {stock: 50, want: 12, wantLarge: 12},
		"much":    {stock: 10000, want: 60, wantLarge: 12},
	} {
		t.Run(name, func(t *testing.T) {
			got, sizes := chooseHolders(members, "w", tt.stock)
			large, domains, sum := 0, make(map[string]bool), 0.0
			for _, m := range got {
				sum += m.Size
				domains[m.Domain] = true
				if m.Size == 1 {
					large++
				}
			}
			if len(got) != tt.want || large != tt.wantLarge || len(domains) != min(6, tt.want) || math.Abs(sum-sizes) > 1e-9 {
				t.Errorf("got %d holders, %d large, in %d domains, sizes %g of %g", len(got), large, len(domains), sizes, sum)
			}
		})
	}
}

func TestConfigFaults(t *testing.T) {
	_, err := New(Config{Bounds: Bounds{Slack: -1}})
	var got *ConfigError
	if !errors.As(err, &got) || len(got.Faults) != 2 {
		t.Errorf("got %v, want two faults", err)
	}
	l := newLedger(t, simulationStart, "a", Limit{Rate: 1})
	if err := l.SetBounds(Bounds{OverRatio: -1}); !errors.As(err, &got) || l.cfg.OverRatio != 0.1 {
		t.Errorf("got %v and %g, want an error and no change", err, l.cfg.OverRatio)
	}
}

// Entries of instances that no longer hold anything are removed.
func TestReplacedHoldersAreForgotten(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l, err := New(Config{Self: "a", Domain: "d", Region: "r"})
	if err != nil {
		t.Fatal(err)
	}
	l.SetLimits(map[string]Limit{"w": {Rate: 100, Burst: 100}})
	for i := range 50 {
		other := Member{Name: fmt.Sprint("b", i), Domain: "d", Region: "r", Size: 1}
		now = now.Add(holderExpiry + time.Second)
		l.SetMembers(now, []Member{{Name: "a", Domain: "d", Region: "r", Size: 1}, other})
		l.Take(now, "w")
		l.Receive(now, now, "w", other, Want{Tokens: 1}, Grant{})
	}
	if got := len(l.quotas["w"].avoidUntil); got > 3 {
		t.Errorf("got entries of %d instances after 50 were replaced, want 3 at most", got)
	}
}

// The share of an instance that was removed long ago is divided among the others, even if no update
// of the members arrives.
func TestLapsedPartIsDividedWithoutNews(t *testing.T) {
	self, other := Member{Name: "a", Domain: "d", Region: "r", Size: 1}, Member{Name: "b", Domain: "d", Region: "r", Size: 1}
	for name, tt := range map[string]struct {
		after time.Duration
		part  float64
	}{
		"before the end": {holderExpiry - time.Second, 0.5},
		"at the end":     {holderExpiry, 1},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			l, err := New(Config{Self: "a", Domain: "d", Region: "r"})
			if err != nil {
				t.Fatal(err)
			}
			l.SetLimits(map[string]Limit{"w": {Rate: 100, Burst: 100}})
			l.SetMembers(now, []Member{self})
			whole := l.Take(now, "w").Rate
			l.SetMembers(now, []Member{self, other})
			l.SetMembers(now, []Member{self})
			if got, want := l.Take(now.Add(tt.after), "w").Rate, tt.part*whole; got != want {
				t.Errorf("got %g tokens a second, want %g", got, want)
			}
		})
	}
}

// The usage tells what is lent, and the shares of holders that are gone.
func TestUsage(t *testing.T) {
	l := newLedger(t, simulationStart, "a", Limit{Rate: 90, Burst: 90})
	l.Take(simulationStart, "w")
	l.Give(simulationStart, "w", Want{Tokens: 1, Rate: 5})
	before := l.Usage(simulationStart)
	l.SetMembers(simulationStart, threeMembers()[:2]) // c is gone
	after := l.Usage(simulationStart)
	if before.Share <= 0 || before.Used != 1 || before.Lent != 5 || before.Lost != 0 {
		t.Errorf("got %+v, want a share, a request, 5 tokens a second lent, and nothing lost", before)
	}
	if got, want := after.Lost, after.Share; math.Abs(got-want) > 1e-9 {
		t.Errorf("got %v lost with one of three equal holders, want %v", got, want)
	}
}
