package callers

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/dispatch"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/internal/targets"
	"github.com/firlever/firlever/pkg/settings"
)

const capacityService = "class: interactive\ntimeout: 2s\nshift: 10\nplaces:\n  here:\n    limit: 4\n" +
	"    targets:\n      - {name: one, address: \"127.0.0.1:1\", slots: 4, connections: 100}\n"

// capacityServer serves one service of one place, with the given number of peers in the place.
func capacityServer(b *testing.B, peers int) *Server {
	node, err := core.New(core.Config{Instance: "i", Incarnation: 1, Place: "here", Domain: "d", Region: "r"}, time.Now())
	if err != nil {
		b.Fatal(err)
	}
	s, err := settings.Compile([]settings.Document{
		{Path: "/places/here", Version: 1, Body: []byte("region: r\ndomain: d\nlimit: 4\n")},
		{Path: "/blocks/all", Version: 1, Body: []byte("blocks:\n  - {prefix: 127.0.0.0/8, place: here}\n")},
		{Path: "/teams/shop/services/orders", Version: 1, Body: []byte(capacityService)},
	})
	if err != nil {
		b.Fatal(err)
	}
	dispatcher := dispatch.New(node, time.Now, func(core.Decision) {})
	dispatcher.Step(core.Applied{Snapshot: s})
	var list []core.Peer
	for i := range peers {
		list = append(list, core.Peer{ID: fmt.Sprintf("p%03d", i), Incarnation: 1, Place: "here", CallersAddress: "127.0.0.1:2"})
	}
	dispatcher.Step(core.PeersChanged{Peers: list})
	return New(Config{Instance: "i", CallersAddress: "127.0.0.1:1"}, dispatcher, targets.New(nil))
}

// BenchmarkCapacityHTTPLookup measures one look-up over a reused loopback connection, including the
// client, by the number of peers in the place.
func BenchmarkCapacityHTTPLookup(b *testing.B) {
	for _, n := range []int{3, 9, 27} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			srv := httptest.NewServer(capacityServer(b, n).Callers())
			defer srv.Close()
			for b.Loop() {
				resp, err := srv.Client().Get(srv.URL + PrefixLookup + "shop/orders")
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
					b.Fatalf("got %d, %v", resp.StatusCode, err)
				}
				resp.Body.Close()
			}
		})
	}
}

// BenchmarkCapacityHandler measures the handler of a look-up alone, without sockets.
func BenchmarkCapacityHandler(b *testing.B) {
	for _, n := range []int{3, 9, 27} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := capacityServer(b, n).Callers()
			r := httptest.NewRequest(http.MethodGet, PrefixLookup+"shop/orders", nil)
			r.RemoteAddr = "127.0.0.1:5"
			for b.Loop() {
				w := httptest.NewRecorder()
				h.ServeHTTP(w, r)
				if w.Code != http.StatusOK {
					b.Fatal(w.Code)
				}
			}
		})
	}
}

// BenchmarkCapacityNote measures counting and logging a decision, by the number of alternatives
// that it names as passed over.
func BenchmarkCapacityNote(b *testing.B) {
	id := settings.ServiceID{Team: "shop", Name: "orders"}
	for _, n := range []int{0, 3, 10} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set := metrics.New()
			defer set.Close()
			logger := log.NewWithOptions(sink{}, log.Options{ReportTimestamp: true, Formatter: log.LogfmtFormatter})
			s := &Server{cfg: Config{Log: logger, Metrics: set}}
			d := core.Serve{Target: owner.TargetKey{Service: id, Name: "orders-east-1"}, Reason: core.ReasonOwnFree, Home: "east", Attempt: 1}
			for range n {
				d.Passed = append(d.Passed, core.Passed{Way: "west", Reason: core.ReasonFull})
			}
			for b.Loop() {
				s.recordDecision(core.Request{Name: "0123456789abcdef", Service: id}, d)
			}
		})
	}
}
