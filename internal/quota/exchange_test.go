package quota

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// fleet is three instances with real sockets.
type fleet struct {
	exchanges []*Exchange
	servers   []*httptest.Server

	mu       sync.Mutex
	failures int // requests to holders without an answer; guarded by mu
}

func newFleet(t *testing.T, limit Limit) *fleet {
	t.Helper()
	f := &fleet{}
	members := threeMembers()
	for i := range members {
		l, err := New(Config{Self: members[i].Name, Domain: members[i].Domain, Region: "r", Bounds: Bounds{OverRatio: 0.1, Slack: 20}})
		if err != nil {
			t.Fatal(err)
		}
		x := NewExchange(l, "", func(error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.failures++
		})
		server := httptest.NewServer(x)
		t.Cleanup(server.Close)
		members[i].Address = strings.TrimPrefix(server.URL, "http://")
		f.exchanges, f.servers = append(f.exchanges, x), append(f.servers, server)
	}
	for _, x := range f.exchanges {
		x.WithLedger(func(l *Ledger) {
			l.SetMembers(time.Now(), members)
			l.SetLimits(map[string]Limit{"w": limit})
			l.StartFilling(time.Now().Add(-time.Minute), false)
		})
	}
	return f
}

// takeAll returns how many tokens an instance gets within a second.
func (f *fleet) takeAll(t *testing.T, instance int) int {
	n := 0
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if f.exchanges[instance].Take(t.Context(), "w").Allowed {
			n++
		}
	}
	return n
}

// An instance without tokens takes those of the others, which then have fewer.
func TestTakesOthersTokens(t *testing.T) {
	f := newFleet(t, Limit{Rate: 1, Burst: 60})
	all, own := f.takeAll(t, 0), f.takeAll(t, 1)
	alone := newFleet(t, Limit{Rate: 1, Burst: 60})
	alone.servers[1].Close()
	alone.servers[2].Close()
	if few := alone.takeAll(t, 0); all < few*3/2 || own > few/2 {
		t.Errorf("got %d tokens at one instance and then %d at another, want half as many again as the %d of a single one, and few", all, own, few)
	}
}

// Concurrent requests share the answers of holders.
func TestAsksOnce(t *testing.T) {
	f := newFleet(t, Limit{Rate: 1, Burst: 60})
	asked := 0
	var mu sync.Mutex
	for i, server := range f.servers {
		inner := f.exchanges[i]
		server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			asked++
			mu.Unlock()
			time.Sleep(20 * time.Millisecond) // as a holder in another region takes
			inner.ServeHTTP(w, r)
		})
	}
	drain(f.exchanges[0].ledger, time.Now())
	var work sync.WaitGroup
	for range 20 {
		work.Go(func() { f.exchanges[0].Take(t.Context(), "w") })
	}
	work.Wait()
	if asked > 4 {
		t.Errorf("got %d calls of holders for 20 concurrent requests, want 4 at most", asked)
	}
}

// A holder that gives no answer is asked once, and then the next one is.
func TestSilentHolder(t *testing.T) {
	f := newFleet(t, Limit{Rate: 1, Burst: 60})
	f.servers[1].Close()
	n := f.takeAll(t, 0)
	f.mu.Lock()
	defer f.mu.Unlock()
	if n < 18 || f.failures != 1 {
		t.Errorf("got %d tokens and %d failed calls, want more than the 16 of one instance, and one", n, f.failures)
	}
}

// A caller that disconnects doesn't wait for others' answers.
func TestCallerLeaves(t *testing.T) {
	f := newFleet(t, Limit{Rate: 1, Burst: 60})
	x := f.exchanges[0]
	x.inFlight["w"] = make(chan struct{}) // a request to holders that never ends
	drain(x.ledger, time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if d := x.Take(ctx, "w"); d.Allowed {
		t.Errorf("got %+v, want a refusal", d)
	}
}

func TestBadQuestions(t *testing.T) {
	f := newFleet(t, Limit{Rate: 1, Burst: 60})
	for name, query := range map[string]string{
		"nothing": "", "no number": "tokens=x&rate=0", "none": "tokens=0&rate=0", "too many": "tokens=100000&rate=0",
		"negative rate": "tokens=1&rate=-1", "rate is none": "tokens=1&rate=NaN", "no rate": "tokens=1",
	} {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			f.exchanges[0].ServeHTTP(w, httptest.NewRequest(http.MethodPost, Path+"?workspace=w&"+query, nil))
			if w.Code != http.StatusBadRequest {
				t.Errorf("got %d, want 400", w.Code)
			}
		})
	}
}

func FuzzQuestion(f *testing.F) {
	f.Add("workspace=w&tokens=3&rate=1.5")
	l, err := New(Config{Self: "a"})
	if err != nil {
		f.Fatal(err)
	}
	l.SetLimits(map[string]Limit{"w": {Rate: 5, Burst: 5}})
	l.SetMembers(time.Now(), []Member{{Name: "a", Size: 1}})
	l.StartFilling(time.Now(), false)
	x := NewExchange(l, "", func(error) {})
	f.Fuzz(func(t *testing.T, query string) {
		r := httptest.NewRequest(http.MethodPost, Path, nil)
		r.URL.RawQuery = query
		w := httptest.NewRecorder()
		x.ServeHTTP(w, r)
		if w.Code != http.StatusOK && w.Code != http.StatusBadRequest {
			t.Errorf("got %d", w.Code)
		}
	})
}
