package loads

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/placement"
)

// objectPeer is an instance that gets requests for objects.
type objectPeer struct {
	*ObjectExchange
	counts   []placement.ServiceCounts // to be told next
	levels   map[uint64]uint8          // as heard
	resets   int                       // times that all levels were told anew
	failures int
}

func newObjectPeer(collector string) *objectPeer {
	p := &objectPeer{levels: make(map[uint64]uint8)}
	p.ObjectExchange = NewObjects(ObjectPeers{
		Collector: func() string { return collector },
		Counts: func(int) []placement.ServiceCounts {
			counts := p.counts
			p.counts = nil
			return counts
		},
		Receive: func(_ time.Time, b placement.Batch) {
			if b.First {
				p.resets++
			}
			for _, l := range b.Loads {
				p.levels[l.Key] = l.Level
			}
		},
		Failed: func(error) { p.failures++ },
	})
	return p
}

// request has the instance tell requests for an object.
func (p *objectPeer) request(at time.Time, key uint64, n int) {
	p.counts = []placement.ServiceCounts{{Service: 1, Warm: 200 * time.Millisecond, Counts: []placement.Count{{Object: placement.Object{Key: key}, Requests: n}}}}
	p.exchangeOnce(context.Background(), at)
}

// The requests of all instances for an object add up, and all hear of the same work.
func TestObjectExchange(t *testing.T) {
	collector := newObjectPeer("")
	server := httptest.NewServer(collector.ObjectExchange)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	a, b := newObjectPeer(address), newObjectPeer(address)
	begin := time.Now()
	for i := range 10 {
		now := begin.Add(time.Duration(i) * time.Second)
		for _, p := range []*objectPeer{a, b, collector} {
			p.request(now, 7, 10)
		}
	}
	for name, p := range map[string]*objectPeer{"a": a, "b": b, "collector": collector} {
		if got := (placement.Load{Level: p.levels[7]}).Work(); got < 3 || got > 12 || p.levels[7] != a.levels[7] {
			t.Errorf("%s: got %.1f slots of work, want about 6 at all", name, got)
		}
	}
}

// The collector fails for a while and comes back without what it knew. Instances keep what they have
// heard until it knows the objects again.
func TestObjectCollectorRestarts(t *testing.T) {
	now := time.Now()
	begin := now
	newCollector := func(run uint64) *ObjectExchange {
		x := NewObjects(ObjectPeers{})
		x.run, x.now = run, func() time.Time { return now }
		return x
	}
	var handler http.Handler = newCollector(1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(w, r) }))
	defer server.Close()
	p := newObjectPeer(strings.TrimPrefix(server.URL, "http://"))
	request := func(at time.Duration, key uint64) {
		now = begin.Add(at)
		p.request(now, key, 10)
	}
	request(0, 7)
	request(time.Second, 7)
	if p.levels[7] == 0 || p.resets != 0 {
		t.Fatalf("got levels %v after %d resets, want object 7 without one", p.levels, p.resets)
	}
	handler = http.NotFoundHandler() // as at an instance of an older version
	request(2*time.Second, 7)
	request(2*time.Second+collectorBackoff-1, 7)
	if p.failures != 1 {
		t.Errorf("got %d failures, want 1 and no call until the back-off ends", p.failures)
	}
	handler = newCollector(2)
	request(5*time.Second, 8)
	request(6*time.Second, 8)
	if p.levels[7] == 0 || p.levels[8] == 0 || p.resets != 0 {
		t.Errorf("got levels %v after %d resets, want both objects without one", p.levels, p.resets)
	}
	request(5*time.Second+resyncDelay, 8)
	if p.resets != 1 {
		t.Errorf("got %d resets after %s, want 1", p.resets, resyncDelay)
	}
}

func TestObjectMessage(t *testing.T) {
	m := objectMessage{objectHead: objectHead{Run: 1, Last: 2}, counts: []placement.ServiceCounts{
		{Service: 5, Warm: 250 * time.Millisecond, Counts: []placement.Count{
			{Object: placement.Object{Key: 1, Regions: 6}, Requests: 9}, {Object: placement.Object{Key: 2, Near: true}, Requests: 1 << 20},
		}},
		{Service: 6, Counts: []placement.Count{{Object: placement.Object{Key: 1, Regions: 1<<15 - 1, Near: true}, Requests: 1}}},
	}}
	encoded := m.encode()
	got, err := decodeObjects(encoded)
	if err != nil {
		t.Fatal(err)
	}
	m.counts[0].Counts[1].Requests = 1<<16 - 1
	for i, want := range m.counts {
		if s := got.counts[i]; s.Service != want.Service || s.Warm != want.Warm || !slices.Equal(s.Counts, want.Counts) {
			t.Errorf("got %+v, want %+v", s, want)
		}
	}
	tooMany := objectMessage{counts: []placement.ServiceCounts{{Counts: make([]placement.Count, maxObjects+1)}}}
	for name, b := range map[string][]byte{"empty": nil, "cut": encoded[:len(encoded)-1], "longer": append(slices.Clone(encoded), 0), "too many objects": tooMany.encode()} {
		var fault *MessageError
		if _, err := decodeObjects(b); !errors.As(err, &fault) {
			t.Errorf("%s: got %v, want a *MessageError", name, err)
		}
	}
}

func FuzzDecodeObjects(f *testing.F) {
	f.Add(objectMessage{counts: []placement.ServiceCounts{{Counts: make([]placement.Count, 2)}}}.encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decodeObjects(b)
		if err != nil {
			return
		}
		if again := m.encode(); !slices.Equal(again, b) {
			t.Errorf("got %x, want %x", again, b)
		}
	})
}
