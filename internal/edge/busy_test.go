package edge

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/overload"
)

// An overloaded instance refuses requests at once, with a Retry-After header, and they reach no
// target.
func TestRefusedOnOverload(t *testing.T) {
	r := newRig(t)
	r.configure(1, "s")
	target := r.target("good")
	r.register("a", target.address, "n1", "ready")
	r.load = overload.NewMeter(0)
	r.start()
	r.waitUsable(1)
	ahead := time.Now().Add(time.Hour) // measurements of the test's own time must not count
	for name, tt := range map[string]struct {
		delay time.Duration
		want  int
		runs  int
	}{
		"no delay":  {delay: 0, want: http.StatusOK, runs: 1},
		"long ones": {delay: time.Minute, want: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			for range 10 {
				ahead = ahead.Add(time.Second)
				r.node.cfg.Overload.Record(ahead, tt.delay)
			}
			before := target.runs()
			got := r.send("POST", "/do/x")
			if got.status != tt.want || target.runs()-before != tt.runs {
				t.Errorf("got %+v and %d runs, want %d and %d", got, target.runs()-before, tt.want, tt.runs)
			}
			if tt.want != http.StatusServiceUnavailable {
				return
			}
			again, err := strconv.ParseFloat(got.retryAfter, 64)
			if least, most := minRetryAfter.Seconds(), (minRetryAfter + overloadRetrySpread).Seconds(); err != nil || again < least || again > most+0.01 {
				t.Errorf("got Retry-After %q s, want %g to %g", got.retryAfter, least, most)
			}
		})
	}
}
