package edge

import (
	"testing"
	"time"

	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/reservation"
	"github.com/firlever/firlever/internal/routes"
	"github.com/firlever/firlever/internal/steer"
	"github.com/firlever/firlever/platform"
)

// Callers that wait 4 s send many requests, and one of them returns after 1 s.
func TestRecognizeReturn(t *testing.T) {
	at := time.Unix(1_000_000, 0)
	tests := map[string]struct {
		timeout time.Duration
		from    string
		want    bool
	}{
		"first attempt": {4 * time.Second, "", false},
		"returned":      {3 * time.Second, "", true},
		"no time told":  {0, "", false},
		"handed off":    {3 * time.Second, "peer", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := &Node{callers: make(map[string]*reservation.Callers)}
			request := func(timeout time.Duration, from string) *pendingRequest {
				return &pendingRequest{
					admission: admission{route: &routes.Entry{Route: routes.Route{Name: "r"}}}, from: from,
					in: &http1.Request{ReceivedAt: at}, info: platform.Request{Timeout: timeout},
				}
			}
			for i := range 200 {
				n.recognizeReturn(request(4*time.Second-time.Duration(i%10)*10*time.Millisecond, ""))
			}
			p := request(tt.timeout, tt.from)
			n.recognizeReturn(p)
			if p.returned != tt.want {
				t.Errorf("got returned %t, want %t", p.returned, tt.want)
			}
			if known := tt.timeout > 0 && tt.from == ""; p.returnBy.IsZero() == known || p.returnFrom.IsZero() == known {
				t.Errorf("got a return from %s to %s, want them set: %t", p.returnFrom, p.returnBy, known)
			}
		})
	}
}

func TestReturnState(t *testing.T) {
	tests := map[string]struct {
		returned bool
		choice   steer.Choice
		status   int
		want     string
	}{
		"served":             {false, steer.Choice{}, 200, ""},
		"refused, promised":  {false, steer.Choice{Reason: steer.NoCapacity, Promised: true}, 503, returnPromised},
		"refused":            {false, steer.Choice{Reason: steer.Cold}, 503, returnUnpromised},
		"no target":          {false, steer.Choice{Reason: steer.NoTarget}, 503, ""},
		"returned":           {true, steer.Choice{}, 200, returnServed},
		"returned, admitted": {true, steer.Choice{Claimed: true}, 200, returnKept},
		"returned, refused":  {true, steer.Choice{Reason: steer.NoBudget}, 503, returnRefused},
		"returned, shed":     {true, steer.Choice{Claimed: true}, 503, returnRefused},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := (&pendingRequest{returned: tt.returned, choice: tt.choice}).returnState(tt.status); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}
