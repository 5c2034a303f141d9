package member

import (
	"testing"
	"time"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/wire"
)

const perPlace, placesPerDomain = 10, 10

func TestCrashAndReturn(t *testing.T) {
	tests := map[string]struct {
		n    int
		most time.Duration
	}{
		"3":  {3, 9 * time.Second},
		"10": {10, 9 * time.Second},
		"95": {95, 12 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newNetwork(t)
			w.start(tt.n, perPlace, placesPerDomain)
			w.run(10 * time.Second)
			if got := w.count(BecameSuspect); got != 0 {
				t.Errorf("got %d suspicions without a fault, want 0", got)
			}
			in := instance(1, perPlace, placesPerDomain)
			w.lists[in.PeerAddress] = nil
			took := w.runUntil(tt.most, func() bool { return w.allHold(in.ID, Dead) })
			t.Logf("dead everywhere after %s", took)
			if !w.allHold(in.ID, Dead) {
				t.Errorf("not dead everywhere after %s", tt.most)
			}
			in.Incarnation++
			w.add(in, address(0))
			took = w.runUntil(tt.most, func() bool {
				return w.allHold(in.ID, Alive) && len(w.lists[in.PeerAddress].Members()) == tt.n-1
			})
			t.Logf("restart known everywhere, and all members held, after %s", took)
			if !w.allHold(in.ID, Alive) || w.count(Restarted) != tt.n-1 {
				t.Errorf("got %d restarts after %s, want %d", w.count(Restarted), took, tt.n-1)
			}
			if got := len(w.lists[in.PeerAddress].Members()); got != tt.n-1 {
				t.Errorf("got %d members at the new incarnation, want %d", got, tt.n-1)
			}
		})
	}
}

func TestPausedInstanceRefutes(t *testing.T) {
	w := newNetwork(t)
	w.start(10, perPlace, placesPerDomain)
	w.run(5 * time.Second)
	in := instance(4, perPlace, placesPerDomain)
	w.paused[in.PeerAddress] = true
	w.run(10 * time.Second)
	if !w.allHold(in.ID, Dead) {
		t.Error("got a paused instance held alive, want dead")
	}
	w.paused[in.PeerAddress] = false
	took := w.runUntil(6*time.Second, func() bool { return w.allHold(in.ID, Alive) })
	t.Logf("alive everywhere %s after it resumed", took)
	if !w.allHold(in.ID, Alive) {
		t.Error("got the resumed instance not alive everywhere, want alive")
	}
	kinds := map[ChangeKind]int{}
	for i, c := range w.changes[in.PeerAddress] {
		if c.Kind == Resumed && kinds[Refuted] > 0 {
			t.Errorf("got a refutation before change %d, want the resumption first", i)
		}
		kinds[c.Kind]++
	}
	if kinds[Resumed] != 1 || kinds[Refuted] == 0 || kinds[BecameDead] != 0 {
		t.Errorf("got changes %v, want one resumed, at least one refuted and none dead", kinds)
	}
}

func TestFaultyLinksCauseNoDeaths(t *testing.T) {
	one, two := address(1), address(2)
	tests := map[string]func(w *network){
		"one way": func(w *network) {
			w.drop = func(from, to string) bool { return from == one && to == two }
		},
		"both ways": func(w *network) {
			w.drop = func(from, to string) bool { return from == one && to == two || from == two && to == one }
		},
		"duplicates and reordering": func(w *network) {
			w.duplicate = true
			w.jitter = 100 * time.Millisecond
		},
		"a tenth lost": func(w *network) {
			w.drop = func(string, string) bool { return w.rng.IntN(10) == 0 }
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			w := newNetwork(t)
			w.start(10, perPlace, placesPerDomain)
			fault(w)
			w.run(60 * time.Second)
			if got := w.count(BecameDead); got != 0 {
				t.Errorf("got %d deaths, want 0", got)
			}
			// With one bad link, helpers answer for both ends, so no member is even suspected.
			if got := w.count(BecameSuspect); got != 0 && (name == "one way" || name == "both ways") {
				t.Errorf("got %d suspicions, want 0", got)
			}
		})
	}
}

func TestPartitionHeals(t *testing.T) {
	w := newNetwork(t)
	w.start(20, 5, 2) // two domains of two places
	w.run(5 * time.Second)
	partitioned := map[string]bool{}
	for i := range 5 {
		partitioned[address(i)] = true // one place of the first domain
	}
	w.drop = func(from, to string) bool { return partitioned[from] != partitioned[to] }
	w.run(20 * time.Second)
	in := instance(0, 5, 2)
	if m, _ := w.lists[address(9)].Get(in.ID); m.State != Dead {
		t.Errorf("got %s across the partition, want dead", m.State)
	}
	if m, _ := w.lists[address(1)].Get(in.ID); m.State != Alive {
		t.Errorf("got %s on the same side, want alive", m.State)
	}
	w.drop = func(string, string) bool { return false }
	healed := func() bool {
		for _, addr := range w.order {
			for _, m := range w.lists[addr].Members() {
				if m.State != Alive {
					return false
				}
			}
		}
		return true
	}
	took := w.runUntil(20*time.Second, healed)
	t.Logf("healed after %s", took)
	if !healed() {
		t.Error("got members not alive 20 s after the partition, want all alive")
	}
}

func TestLeave(t *testing.T) {
	w := newNetwork(t)
	w.start(95, perPlace, placesPerDomain)
	w.run(5 * time.Second)
	in := instance(7, perPlace, placesPerDomain)
	w.send(in.PeerAddress, w.lists[in.PeerAddress].Leave(w.now))
	took := w.runUntil(5*time.Second, func() bool { return w.allHold(in.ID, Leaving) })
	t.Logf("leaving everywhere after %s", took)
	if !w.allHold(in.ID, Leaving) {
		t.Error("got an instance that missed the leave, want leaving everywhere")
	}
	for _, m := range w.lists[address(0)].Alive(in.Place) {
		if m.ID == in.ID {
			t.Error("got the leaving instance among the alive")
		}
	}
}

func TestAcks(t *testing.T) {
	w := newNetwork(t)
	w.start(9, 9, 1)
	var ids []string
	for _, in := range cluster(8, 9, 1) { // all but the last
		ids = append(ids, in.ID)
	}
	for _, l := range w.lists {
		l.SetRoster(7, ids)
	}
	w.run(5 * time.Second)
	l := w.lists[address(0)]
	w.runUntil(20*time.Second, func() bool {
		for _, m := range l.Members() {
			if ack := l.Acked(m.ID); w.now.Sub(ack.Promised) > 2*time.Second || ack.Roster != 7 {
				t.Errorf("got ack %+v of %s at %s, want one of roster 7 within 2 s", ack, m.ID, w.now)
			}
		}
		return t.Failed()
	})
	last := w.lists[address(8)]
	ack := last.Acked(ids[0])
	if ack.Sent.IsZero() || !ack.Promised.IsZero() {
		t.Errorf("got %+v for an instance that the roster does not name, want acks without a promise", ack)
	}
	if got := l.Promised(last.Self().ID); !got.IsZero() {
		t.Errorf("got a promise at %s to an instance that the roster does not name", got)
	}
	if got, want := l.Promised(ids[1]), w.lists[address(1)].Acked(ids[0]).Promised; got.Before(want) {
		t.Errorf("got promise given at %s, want no earlier than its ping, %s", got, want)
	}
	partitionedAt := w.now
	w.drop = func(from, to string) bool { return to == address(0) || from == address(0) }
	w.run(4 * time.Second)
	if got := l.Acked(ids[1]).Promised; got.After(partitionedAt) {
		t.Errorf("got a promise of a ping at %s, after the partition at %s", got, partitionedAt)
	}
}

func TestBytes(t *testing.T) {
	const budget = 8000 // bytes per second for all control traffic; membership may use half
	rates := map[string]float64{}
	tests := map[string]int{"10": 10, "30": 30, "95": 95, "95 of 200": 200}
	for name, n := range tests {
		t.Run(name, func(t *testing.T) {
			rates[name] = measure(t, n, 9, 11)
			if rates[name] > budget/2 {
				t.Errorf("got %.0f bytes/s, want at most %d", rates[name], budget/2)
			}
		})
	}
	// Beyond the domain, two pings and two acks per second are added, whatever the size of the
	// cluster.
	if got, most := rates["95 of 200"], rates["95"]+1200; got > most {
		t.Errorf("got %.0f bytes/s in a larger world, want at most %.0f", got, most)
	}
}

// measure returns the bytes sent per member and second in a steady state.
func measure(t testing.TB, n, perPlace, placesPerDomain int) float64 {
	w := newNetwork(t)
	w.start(n, perPlace, placesPerDomain)
	w.run(5 * time.Second)
	clear(w.bytes)
	w.packets = 0
	const seconds = 10
	w.run(seconds * time.Second)
	total, most := 0, 0
	for _, b := range w.bytes {
		total += b
		most = max(most, b)
	}
	rate := float64(total) / float64(n) / seconds
	t.Logf("%d members: %.0f bytes/s and %.1f packets/s a member; the most %d bytes/s",
		n, rate, float64(w.packets)/float64(n)/seconds, most/seconds)
	return rate
}

func TestBounds(t *testing.T) {
	cfg := Config{Self: instance(0, 9, 11)}
	l, err := New(cfg, start)
	if err != nil {
		t.Fatal(err)
	}
	l.MergeListing(start, cluster(2100, 9, 11))
	if got, want := len(l.Domain(cfg.Self.Domain)), 98; got != want {
		t.Errorf("got %d of the domain, want %d", got, want)
	}
	if got, most := len(l.Members()), 98+3*230; got > most {
		t.Errorf("got %d members, want at most %d", got, most)
	}
	for place, n := range l.placeSizes {
		if n > 3 {
			t.Errorf("got %d members of %s, want at most 3", n, place)
		}
	}
}

func TestListingNeverMarksDead(t *testing.T) {
	w := newNetwork(t)
	w.start(3, 3, 1)
	w.run(3 * time.Second)
	l := w.lists[address(0)]
	departed := instance(2, 3, 1)
	l.MergeListing(w.now, []docstore.Instance{instance(0, 3, 1), instance(1, 3, 1)})
	w.run(20 * time.Second)
	if m, _ := l.Get(departed.ID); m.State != Alive {
		t.Errorf("got %s for an instance missing in the list, want alive", m.State)
	}
	w.lists[departed.PeerAddress] = nil
	w.run(15 * time.Second)
	if m, _ := l.Get(departed.ID); m.State != Dead {
		t.Errorf("got %s, want dead", m.State)
	}
	w.run(11 * time.Minute)
	if _, ok := l.Get(departed.ID); ok {
		t.Error("got a dead, unlisted member still held after the deadline")
	}
}

func TestValidate(t *testing.T) {
	cfg := Config{Probe: time.Second, Timeout: time.Second, Seeds: []string{"nowhere"}, Sample: -1}
	cfg.Defaults()
	err, ok := cfg.Validate().(*ConfigError)
	if !ok || len(err.Faults) != 4 {
		t.Errorf("got %v, want four faults", err)
	}
}

func TestIncarnationNeverGoesBack(t *testing.T) {
	l, _ := New(Config{Self: instance(0, 3, 1)}, start)
	in := instance(1, 3, 1)
	old := in
	old.Incarnation--
	for _, list := range [][]docstore.Instance{{in}, {old}} {
		l.MergeListing(start, list)
	}
	m := member{in: old}
	l.apply(start, m.update(true))
	m.state = wire.State_STATE_DEAD
	l.apply(start, m.update(false))
	if got, _ := l.Get(in.ID); got.Incarnation != in.Incarnation || got.State != Alive {
		t.Errorf("got %+v, want incarnation %d alive", got, in.Incarnation)
	}
}

func TestReceiveRefuses(t *testing.T) {
	self := instance(0, 3, 1)
	hello := func() *wire.Packet {
		peer := instance(1, 3, 1)
		m := member{in: peer}
		return &wire.Packet{From: peer.ID, Incarnation: peer.Incarnation, Kind: wire.Kind_KIND_PING, Known: 1, News: []*wire.News{m.update(true)}}
	}
	tests := map[string]struct {
		change func(*wire.Packet)
		want   Reason
	}{
		"good":          {func(*wire.Packet) {}, ""},
		"no sender":     {func(p *wire.Packet) { p.From = "" }, Malformed},
		"no kind":       {func(p *wire.Packet) { p.Kind = 0 }, Malformed},
		"wrapped":       {func(p *wire.Packet) { p.Refutation = 1 << 63 }, Malformed},
		"own":           {func(p *wire.Packet) { p.From = self.ID }, Misaddressed},
		"not to me":     {func(p *wire.Packet) { p.To = "other" }, Misaddressed},
		"to my past":    {func(p *wire.Packet) { p.ToIncarnation = 1 }, Misaddressed},
		"unknown":       {func(p *wire.Packet) { p.News = nil }, UnknownSender},
		"from the past": {func(p *wire.Packet) { p.Incarnation-- }, Outdated},
		"unasked ack":   {func(p *wire.Packet) { p.Kind = wire.Kind_KIND_ACK }, Unsolicited},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l, _ := New(Config{Self: self}, start)
			p := hello()
			tt.change(p)
			_, err := l.Receive(start, p)
			got := Reason("")
			if pe, ok := err.(*PacketError); ok {
				got = pe.Reason
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}
