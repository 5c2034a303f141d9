package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/invariant"
)

func TestScrape(t *testing.T) {
	s := New()
	s.CountDecision(Decision{Kind: "serve", Service: "shop/orders", Reason: "own-free"})
	s.CountDecision(Decision{Kind: "serve", Service: "shop/orders", Reason: "own-free"})
	s.RecordLatency("shop/orders", 3*time.Millisecond)
	s.RecordAnswerTime("shop/orders", 2*time.Millisecond, 3*time.Millisecond)
	s.CountPlatformFailure("watch")
	s.SetGauges(Gauges{
		Services:  []Service{{Name: "shop/orders", Limit: 4, InFlight: 1}},
		Confirmed: true,
		Counts:    []invariant.Count{{Name: invariant.AtMostOnce, Checks: 7}},
	})
	s.Close() // reports the values that are not reported yet
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	tests := map[string]string{
		"decisions": `firlever_decisions{kind="serve",reason="own-free",service="shop/orders"} 2`,
		"latency":   `firlever_latency_seconds_count{service="shop/orders"} 1`,
		"estimated": `firlever_answer_seconds_count{kind="estimated",service="shop/orders"} 1`,
		"measured":  `firlever_answer_seconds_count{kind="measured",service="shop/orders"} 1`,
		"limit":     `firlever_limit{service="shop/orders"} 4`,
		"confirmed": `firlever_confirmed 1`,
		"checks":    `firlever_invariant_checks{invariant="at-most-once"} 7`,
		"platform":  `firlever_platform_failures{call="watch"} 1`,
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			if got := w.Body.String(); !strings.Contains(got, want) {
				t.Errorf("got %s\nwant a line %q", got, want)
			}
		})
	}
}

func TestNilSet(_ *testing.T) {
	var s *Set
	s.CountDecision(Decision{})
	s.RecordLatency("", 0)
	s.RecordAnswerTime("", 0, 0)
	s.CountPlatformFailure("")
	s.SetGauges(Gauges{Queued: 1})
}
