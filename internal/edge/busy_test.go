package edge

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/overload"
)

// What an overloaded instance has no time for is refused at once, with a time to come back,
// and reaches no target.
func TestRefusedOnOverload(t *testing.T) {
	r := newRig(t)
	r.configure(1, "s")
	target := r.target("good")
	r.register("a", target.address, "n1", "ready")
	r.load = overload.NewMeter(0)
	r.start()
	r.knows(1)
	ahead := time.Now().Add(time.Hour) // what is measured meanwhile counts for nothing
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
				r.node.cfg.Load.Note(ahead, tt.delay)
			}
			before := target.runs()
			got := r.send("POST", "/do/x")
			if got.status != tt.want || target.runs()-before != tt.runs {
				t.Errorf("got %+v and %d runs, want %d and %d", got, target.runs()-before, tt.want, tt.runs)
			}
			if tt.want != http.StatusServiceUnavailable {
				return
			}
			again, err := strconv.ParseFloat(got.again, 64)
			if least, most := againSoonest.Seconds(), (againSoonest + againBusy).Seconds(); err != nil || again < least || again > most+0.01 {
				t.Errorf("got %q s to come back, want %g to %g", got.again, least, most)
			}
		})
	}
}
