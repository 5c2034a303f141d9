package loads

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/steer"
)

var start = time.UnixMilli(1_800_000_000_000)

func TestBoard(t *testing.T) {
	b := newReportTable[steer.LoadReport]()
	first := steer.LoadReport{Target: 1, Load: 3, At: start}
	later := steer.LoadReport{Target: 1, Load: 5, At: start.Add(time.Second)}
	other := steer.LoadReport{Target: 2, Load: 7, At: start}
	if got := b.merge(10, []steer.LoadReport{first, other}); len(got) != 2 {
		t.Errorf("got new reports %v, want both", got)
	}
	if got := b.merge(11, []steer.LoadReport{later, other}); len(got) != 1 || got[0] != later {
		t.Errorf("got new reports %v, want %v", got, later)
	}
	if got := b.merge(12, []steer.LoadReport{first}); got != nil {
		t.Errorf("got new reports %v from an older one, want none", got)
	}
	tests := map[string]struct {
		now      time.Time
		sequence uint64
		except   uint64
		most     int
		want     []int // loads
	}{
		"all":            {start, 0, 0, 9, []int{5, 7}},
		"but one's own":  {start, 0, 11, 9, []int{7}},
		"since a number": {start, 2, 0, 9, []int{5}},
		"newest first":   {start, 0, 0, 1, []int{5}},
		"nothing since":  {start, 3, 0, 9, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			reports, last := b.since(tt.now, tt.sequence, tt.except, tt.most)
			var got []int
			for _, r := range reports {
				got = append(got, r.Load)
			}
			slices.Sort(got)
			if !slices.Equal(got, tt.want) || last != 3 {
				t.Errorf("got %v up to %d, want %v up to 3", got, last, tt.want)
			}
		})
	}
}

func TestMessage(t *testing.T) {
	m := message{head: head{From: 1, Run: 2, Loads: 3, Constraints: 4}, reports: steer.TargetReports{
		Loads: []steer.LoadReport{
			{Target: 7, Load: 4, At: start.Add(-time.Second)}, {Target: 8, Load: 1 << 20, At: start.Add(-time.Hour)},
		},
		Constraints: []steer.Constraint{
			{Target: 7, Started: start.Add(-time.Minute), Limit: 9.1, HasLimit: true, At: start.Add(-time.Second)},
			{Target: 8, Leaving: true, At: start.Add(-time.Hour)},
		},
	}}
	b, err := m.encode(start)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(start, b)
	if err != nil {
		t.Fatal(err)
	}
	want := []steer.LoadReport{
		{Target: 7, Load: 4, At: start.Add(-1001 * time.Millisecond)}, {Target: 8, Load: 65535, At: start.Add(-65535 * time.Millisecond)},
	}
	if got.head != m.head || !slices.Equal(got.reports.Loads, want) {
		t.Errorf("got %+v, want head %+v and %v", got, m.head, want)
	}
	wantConstraints := []steer.Constraint{
		{Target: 7, Started: start.Add(-time.Minute), Limit: 9.1, HasLimit: true, At: start.Add(-1001 * time.Millisecond)},
		{Target: 8, Leaving: true, At: start.Add(-65535 * time.Millisecond)},
	}
	if !slices.EqualFunc(got.reports.Constraints, wantConstraints, sameConstraint) {
		t.Errorf("got %+v, want %+v", got.reports.Constraints, wantConstraints)
	}
	for _, size := range []int{0, 23, 25, 33, 35, 34 + 12*(maxLoads+1)} {
		var fault *MessageError
		if _, err := decode(start, make([]byte, size)); !errors.As(err, &fault) {
			t.Errorf("%d bytes: got %v, want a *MessageError", size, err)
		}
	}
}

func sameConstraint(a, b steer.Constraint) bool {
	if !a.Started.Equal(b.Started) || !a.At.Equal(b.At) {
		return false
	}
	a.Started, a.At = b.Started, b.At
	return a == b
}

// A message with an invalid count or limit is rejected as a whole.
func TestUnreadableMessage(t *testing.T) {
	m := message{reports: steer.TargetReports{Constraints: []steer.Constraint{{Target: 7, Limit: math.NaN(), HasLimit: true, At: start}}}}
	nan, err := m.encode(start)
	if err != nil {
		t.Fatal(err)
	}
	m.reports.Constraints[0].Limit = -1
	negative, err := m.encode(start)
	if err != nil {
		t.Fatal(err)
	}
	more := bytes.Clone(negative)
	more[32] = 2
	for name, b := range map[string][]byte{"no number": nan, "negative": negative, "more than there are": more, "cut": negative[:40]} {
		var fault *MessageError
		if _, err := decode(start, b); !errors.As(err, &fault) {
			t.Errorf("%s: got %v, want a *MessageError", name, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(make([]byte, 34+12))
	f.Add(append(append(make([]byte, 32), 1, 0), make([]byte, 27)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decode(start, b)
		if err != nil {
			return
		}
		for _, r := range m.reports.Loads {
			if r.Load < 0 || r.At.After(start) {
				t.Errorf("got %+v", r)
			}
		}
		for _, r := range m.reports.Constraints {
			if !(r.Limit >= 0) || r.At.After(start) {
				t.Errorf("got %+v", r)
			}
		}
	})
}

func TestBoardForgets(t *testing.T) {
	b := newReportTable[steer.LoadReport]()
	b.merge(10, []steer.LoadReport{{Target: 1, Load: 3, At: start}})
	if got, _ := b.since(start.Add(maxReportAge+1), 0, 0, maxLoads); len(got) != 0 || len(b.rows) != 0 {
		t.Errorf("got %v and %d rows, want none that is older than %s", got, len(b.rows), maxReportAge)
	}
}

// An answer costs the collector what it tells, however many targets the region has.
func TestAnswerInALargeRegion(t *testing.T) {
	cost := make(map[int]uint64)
	for _, n := range []int{2 * maxLoads, 20 * maxLoads} {
		b := newReportTable[steer.LoadReport]()
		for i := range n {
			b.merge(uint64(i%330), []steer.LoadReport{{Target: uint64(i), Load: 3, At: start}})
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		got, _ := b.since(start, 0, 1000, maxLoads)
		runtime.ReadMemStats(&after)
		cost[n] = after.TotalAlloc - before.TotalAlloc
		if len(got) != maxLoads {
			t.Errorf("got %d of %d reports, want %d", len(got), n, maxLoads)
		}
	}
	if few, many := cost[2*maxLoads], cost[20*maxLoads]; many > 2*few {
		t.Errorf("got %d bytes for an answer of %d targets, %d for the same of ten times as many", few, 2*maxLoads, many)
	}
}

// Whoever reached the port for peers could have a collector keep reports of any number of targets.
func TestReportsOfEndlessTargets(t *testing.T) {
	b := newReportTable[steer.LoadReport]()
	for k := range uint64(maxRows + 1000) {
		b.merge(1, []steer.LoadReport{{Target: k, Load: 1, At: start}})
	}
	if got := len(b.rows); got != maxRows {
		t.Errorf("got reports of %d targets, want %d", got, maxRows)
	}
	known := steer.LoadReport{Target: 7, Load: 2, At: start.Add(time.Second)}
	if got := b.merge(1, []steer.LoadReport{known}); len(got) != 1 {
		t.Errorf("got %v of a known target, want its newer report", got)
	}
	b.since(start.Add(2*maxReportAge), 0, 0, 1)
	if got := len(b.rows); got != 0 {
		t.Errorf("got %d old reports kept, want none", got)
	}
}

// Targets that report again and again, and those that cease to, leave nothing at the collector.
func TestReplacedReportsAreForgotten(t *testing.T) {
	b := newReportTable[steer.LoadReport]()
	for i := range 10_000 {
		at := start.Add(time.Duration(i) * time.Millisecond)
		b.merge(10, []steer.LoadReport{{Target: uint64(i % 7), Load: 3, At: at}})
	}
	if got, most := len(b.written), 2*7+minReplaced; len(b.rows) != 7 || got > most {
		t.Errorf("got %d rows and %d places, want 7 and %d at most", len(b.rows), got, most)
	}
	if got, last := b.since(start.Add(10*time.Second), 9_998, 0, maxLoads); len(got) != 2 || last != 10_000 {
		t.Errorf("got %v up to %d, want the last two", got, last)
	}
	b.since(start.Add(time.Minute), 0, 0, maxLoads)
	if len(b.rows) != 0 || len(b.written) != 0 {
		t.Errorf("got %d rows and %d places, want none", len(b.rows), len(b.written))
	}
}

// peer is an instance that has received reports of targets.
type peer struct {
	*Exchange
	mu       sync.Mutex
	own      []steer.LoadReport
	received []steer.LoadReport
	failures int

	ownConstraints []steer.Constraint // received from targets
	receivedLimits []float64          // received from other instances
}

func newPeer(name, collector string) *peer {
	p := &peer{}
	p.Exchange = New(Peers{
		Name: name, Collector: func() string { return collector },
		Reports: func(since time.Time) steer.TargetReports {
			p.mu.Lock()
			defer p.mu.Unlock()
			return steer.TargetReports{
				Loads:       slices.DeleteFunc(slices.Clone(p.own), func(r steer.LoadReport) bool { return !r.At.After(since) }),
				Constraints: slices.DeleteFunc(slices.Clone(p.ownConstraints), func(c steer.Constraint) bool { return !c.At.After(since) }),
			}
		},
		Receive: func(reports steer.TargetReports) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.received = append(p.received, reports.Loads...)
			for _, c := range reports.Constraints {
				p.receivedLimits = append(p.receivedLimits, c.Limit)
			}
		},
		Failed: func(error) { p.failures++ },
	})
	return p
}

// loads returns the load reports received from other instances, as target and load.
func (p *peer) loads() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for _, r := range p.received {
		list = append(list, fmt.Sprintf("%d:%d", r.Target, r.Load))
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

// The reports that one instance receives reach the others with their next exchange, each once.
func TestExchange(t *testing.T) {
	collector := newPeer("c", "")
	server := httptest.NewServer(collector)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	a, b := newPeer("a", address), newPeer("b", address)
	now := time.Now()
	a.own = []steer.LoadReport{{Target: 1, Load: 3, At: now}}
	b.own = []steer.LoadReport{{Target: 2, Load: 4, At: now}}
	collector.own = []steer.LoadReport{{Target: 3, Load: 5, At: now}}
	a.ownConstraints = []steer.Constraint{{Target: 1, Limit: 9, HasLimit: true, At: now}}
	for i := range 3 {
		for _, p := range []*peer{collector, a, b, a} {
			p.exchangeOnce(context.Background(), now.Add(time.Duration(i+1)*time.Millisecond))
		}
	}
	for p, want := range map[*peer]string{collector: "1:3 2:4", a: "2:4 3:5", b: "1:3 3:5"} {
		if got := p.loads(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	for p, want := range map[*peer][]float64{collector: {9}, a: nil, b: {9}} {
		if !slices.Equal(p.receivedLimits, want) {
			t.Errorf("got limits %v, want %v", p.receivedLimits, want)
		}
	}
}

// A collector that fails is not called for a while, and the reports that could not be sent
// meanwhile are sent then; one that has restarted sends all of its reports again.
func TestCollectorFails(t *testing.T) {
	collector := newPeer("c", "")
	broken := true
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if broken {
			http.Error(w, "no", http.StatusInternalServerError)
			return
		}
		collector.ServeHTTP(w, r)
	}))
	defer server.Close()
	p := newPeer("a", strings.TrimPrefix(server.URL, "http://"))
	now := time.Now()
	p.own = []steer.LoadReport{{Target: 1, Load: 3, At: now}}
	collector.Exchange.loads.merge(9, []steer.LoadReport{{Target: 2, Load: 4, At: now}})
	p.exchangeOnce(context.Background(), now.Add(1))
	broken = false
	p.exchangeOnce(context.Background(), now.Add(collectorBackoff-1))
	if got := p.loads(); got != "" || p.failures != 1 {
		t.Errorf("got %q received and %d failures, want none and 1", got, p.failures)
	}
	p.exchangeOnce(context.Background(), now.Add(collectorBackoff+1))
	if got := collector.loads() + ", " + p.loads(); got != "1:3, 2:4" {
		t.Errorf("got %q, want the reports from before and after", got)
	}
	collector.run++ // another process
	p.exchangeOnce(context.Background(), now.Add(collectorBackoff+2))
	if got := p.loads(); got != "2:4 2:4" {
		t.Errorf("got %q, want all reports once more", got)
	}
}

// Loads that a fleet tells once reach the others although the collector doesn't answer, unless they are
// replaced or too old by then.
func TestUnansweredLoadsAreTold(t *testing.T) {
	now := time.Now()
	at := func(d time.Duration) time.Time { return now.Add(d - collectorBackoff) }
	tests := map[string]struct {
		first, later []steer.LoadReport
		self         bool // the instance collects itself by then
		want         string
	}{
		"told again":   {[]steer.LoadReport{{Target: 1, Load: 3, At: at(0)}}, nil, false, "1:3"},
		"with others":  {[]steer.LoadReport{{Target: 1, Load: 3, At: at(0)}}, []steer.LoadReport{{Target: 2, Load: 4, At: at(1)}}, false, "1:3 2:4"},
		"replaced":     {[]steer.LoadReport{{Target: 1, Load: 3, At: at(0)}}, []steer.LoadReport{{Target: 1, Load: 5, At: at(1)}}, false, "1:5"},
		"too old":      {[]steer.LoadReport{{Target: 1, Load: 3, At: at(-maxReportAge)}}, nil, false, ""},
		"told oneself": {[]steer.LoadReport{{Target: 1, Load: 3, At: at(0)}}, nil, true, "1:3"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			collector := newPeer("c", "")
			broken := true
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if broken {
					http.Error(w, "no", http.StatusInternalServerError)
					return
				}
				collector.ServeHTTP(w, r)
			}))
			defer server.Close()
			address, next := strings.TrimPrefix(server.URL, "http://"), tt.first
			x := New(Peers{
				Name: "a", Collector: func() string { return address }, Receive: func(steer.TargetReports) {}, Failed: func(error) {},
				Reports: func(time.Time) steer.TargetReports {
					loads := next
					next = nil
					return steer.TargetReports{Loads: loads}
				},
			})
			x.exchangeOnce(t.Context(), at(0))
			broken, next = false, tt.later
			x.exchangeOnce(t.Context(), at(collectorBackoff-1))
			if tt.self {
				address = ""
			}
			x.exchangeOnce(t.Context(), at(collectorBackoff))
			got := collector.loads()
			if tt.self {
				rows, _ := x.loads.since(now, 0, 0, maxLoads)
				got = (&peer{received: rows}).loads()
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}
