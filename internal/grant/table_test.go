package grant

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/pkg/settings"
)

var (
	start  = time.Unix(1_000_000, 0)
	orders = Use{Service: settings.ServiceID{Team: "shop", Name: "orders"}, Shifted: true}
	images = Use{Service: settings.ServiceID{Team: "shop", Name: "images"}, Shifted: true}
	fees   = Use{Service: settings.ServiceID{Team: "court", Name: "fees"}, Shifted: true}
)

type testingT interface {
	Helper()
	Fatal(args ...any)
	Errorf(format string, args ...any)
}

func newBook(t testingT) *Table {
	t.Helper()
	checks := invariant.New(func(n invariant.Name, d string) { t.Errorf("invariant %s: %s", n, d) })
	b, err := NewTable(Config{Skew: 0.05, Checks: checks})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func capacityOf(n int) Capacity { return Capacity{Slots: n, Shifted: n, PlaceSlots: n} }

func TestGrantIsSplit(t *testing.T) {
	type ask struct {
		peer, place string
		use         Use
		want, got   int
		spare       int // free under the place's limit from this ask on; 0 leaves it as it was
	}
	tests := map[string]struct {
		room Capacity
		asks []ask
	}{
		"alone":                {capacityOf(10), []ask{{"a1", "a", orders, 4, 4, 0}}},
		"no more than fits":    {capacityOf(3), []ask{{"a1", "a", orders, 9, 3, 0}, {"b1", "b", orders, 9, 0, 0}}},
		"the cap holds back":   {Capacity{Slots: 10, Shifted: 2, PlaceSlots: 10}, []ask{{"a1", "a", orders, 9, 2, 0}}},
		"the place holds back": {Capacity{Slots: 10, Shifted: 9, PlaceSlots: 1}, []ask{{"a1", "a", orders, 9, 1, 0}}},
		"two places share": {capacityOf(10), []ask{
			{"a1", "a", orders, 0, 0, 0}, {"b1", "b", orders, 4, 4, 0}, {"a1", "a", orders, 9, 6, 0}, {"b1", "b", orders, 9, 0, 0},
		}},
		"a place with many instances gets no more": {capacityOf(12), []ask{
			{"b1", "b", orders, 9, 1, 1},
			{"a1", "a", orders, 4, 4, 12},
			{"a2", "a", orders, 4, 2, 0},
			{"a3", "a", orders, 4, 0, 0},
			{"b1", "b", orders, 9, 5, 0},
		}},
		"teams share the place by weight": {
			Capacity{Slots: 20, Shifted: 20, Weight: func(team string) int { return map[string]int{"shop": 3, "court": 1}[team] }},
			[]ask{{"a1", "a", fees, 9, 2, 2}, {"a1", "a", orders, 9, 6, 8}, {"a1", "a", fees, 9, 0, 8}},
		},
		"instances of a place share": {capacityOf(9), []ask{
			{"a1", "a", orders, 9, 1, 1}, {"a2", "a", orders, 9, 5, 9}, {"a1", "a", orders, 9, 3, 9},
		}},
		"in demand services share": {capacityOf(9), []ask{
			{"a1", "a", images, 9, 1, 1}, {"a1", "a", orders, 9, 5, 9}, {"a1", "a", images, 9, 3, 9},
		}},
		"services of a team share": {capacityOf(8), []ask{{"a1", "a", orders, 4, 4, 0}, {"a1", "a", images, 9, 4, 0}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBook(t)
			for i, a := range tt.asks {
				if a.spare > 0 {
					tt.room.PlaceSlots = a.spare
				}
				got := b.Grant(start, Ask{Peer: a.peer, Place: a.place, Use: a.use, Want: a.want}, tt.room)
				if got != a.got {
					t.Errorf("ask %d: got %d, want %d", i, got, a.got)
				}
			}
		})
	}
}

func TestSingleSlotIsGrantedInTurn(t *testing.T) {
	b := newBook(t)
	got := make(map[string]int)
	for i := range 100 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		for _, place := range []string{"a", "b", "c"} {
			if b.Grant(now, Ask{Peer: place, Place: place, Use: orders, Want: 5}, capacityOf(1)) == 1 {
				got[place]++
				b.Used(now, place, orders)
			}
		}
	}
	for _, place := range []string{"a", "b", "c"} {
		if got[place] < 25 {
			t.Errorf("got %v, want each place to have a share", got)
		}
	}
}

// TestSenderNeverHoldsLonger runs the sender's clock slow or fast within the skew
// bound, and delays answers: a grant must expire at the sender no later than at
// the granter.
func TestSenderNeverHoldsLonger(t *testing.T) {
	tests := map[string]struct {
		rate                      float64 // of the sender's clock
		requestDelay, answerDelay time.Duration
	}{
		"equal clocks": {1, 0, 0}, "slow": {0.96, 0, 0}, "fast": {1.05, 0, 0},
		"late answer": {0.96, 20 * time.Millisecond, 400 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b, p := newBook(t), NewHoldings()
			clock := func(d time.Duration) time.Time { return start.Add(time.Duration(float64(d) * tt.rate)) }
			n := b.Grant(start.Add(tt.requestDelay), Ask{Peer: "a1", Place: "a", Use: orders, Want: 3}, capacityOf(9))
			p.Add("g", orders, n, clock(0).Add(b.Lifetime()))
			for d := tt.requestDelay + tt.answerDelay; d < time.Second; d += time.Millisecond {
				held, out := p.Held(clock(d), "g", orders), b.Outstanding(start.Add(d), orders.Service)
				if held > out {
					t.Fatalf("after %v: got %d held, %d outstanding", d, held, out)
				}
			}
			if got := b.Outstanding(start.Add(time.Second), orders.Service); got != 0 {
				t.Errorf("got %d outstanding at the end, want 0", got)
			}
		})
	}
}

func TestExpiredGrantIsNotTaken(t *testing.T) {
	p := NewHoldings()
	p.Add("g", orders, 3, start)
	if got := p.Take(start, "g", orders, 1); got != 0 {
		t.Errorf("got %d taken, want 0 from an expired grant", got)
	}
	if got := p.Held(start, "g", orders); got != 0 {
		t.Errorf("got %d held, want 0 from an expired grant", got)
	}
}

// TestGrantsFitCapacity runs one granter and several senders whose answers are
// lost or duplicated. The outstanding grants must always fit the capacity that
// they were issued from.
func TestGrantsFitCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := newBook(t), start
		type promised struct {
			use   Use
			n     int
			until time.Time
		}
		open := make(map[string][]promised)
		sum := func(uses ...Use) int {
			total := 0
			for _, list := range open {
				for _, g := range list {
					if now.Before(g.until) && slices.Contains(uses, g.use) {
						total += g.n
					}
				}
			}
			return total
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			peer := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "peer"))
			use := rapid.SampledFrom([]Use{orders, fees}).Draw(t, "service")
			key := peer + use.Service.Team
			if rapid.Bool().Draw(t, "use") {
				// The hand-off may rely on a duplicate answer instead of a grant.
				if b.Used(now, peer, use) {
					list := open[key]
					for i := range list {
						if list[i].n > 0 && now.Before(list[i].until) {
							list[i].n--
							break
						}
					}
				}
				continue
			}
			r := Capacity{Slots: rapid.IntRange(0, 20).Draw(t, "slots"), Shifted: rapid.IntRange(0, 20).Draw(t, "shifted"), PlaceSlots: rapid.IntRange(0, 20).Draw(t, "spare")}
			n := b.Grant(now, Ask{Peer: peer, Place: peer[:1], Use: use, Want: rapid.IntRange(0, 9).Draw(t, "want")}, r)
			open[key] = append(open[key], promised{use: use, n: n, until: now.Add(b.Lifetime())})
			if n > 0 && (sum(use) > min(r.Slots, r.Shifted) || sum(orders, fees) > r.PlaceSlots) {
				t.Fatalf("got %d granted for the use, %d in all, want them to fit %+v", sum(use), sum(orders, fees), r)
			}
		}
	})
}

func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 50).Draw(t, "total")
		var claims []claim
		wanted := 0
		for range rapid.IntRange(0, 6).Draw(t, "claims") {
			c := claim{want: rapid.IntRange(0, 20).Draw(t, "want"), weight: rapid.IntRange(1, 5).Draw(t, "weight")}
			claims = append(claims, c)
			wanted += c.want
		}
		given := 0
		for i, n := range split(total, claims) {
			given += n
			if n > claims[i].want {
				t.Fatalf("got %d for a claim of %d", n, claims[i].want)
			}
		}
		if want := min(total, wanted); given != want {
			t.Fatalf("got %d given, want %d", given, want)
		}
	})
}
