package callers

import (
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/pkg/settings"
)

// sink discards what is written. The logger would skip its work for io.Discard.
type sink struct{}

func (sink) Write(b []byte) (int, error) { return len(b), nil }

// BenchmarkCapacityDecision measures the cost of counting and logging a decision.
func BenchmarkCapacityDecision(b *testing.B) {
	id := settings.ServiceID{Team: "shop", Name: "orders"}
	req := core.Request{Name: "0123456789abcdef", Service: id}
	d := core.Serve{
		Target: owner.TargetKey{Service: id, Name: "orders-east-1"}, Reason: core.ReasonOwnFree,
		Home: "east", Attempt: 1, Passed: []core.Passed{{Way: "west", Reason: core.ReasonFull}},
	}
	options := log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano}
	cases := map[string]*log.Logger{
		"metrics": nil,
		"text":    log.NewWithOptions(sink{}, options),
		"logfmt":  log.NewWithOptions(sink{}, log.Options{ReportTimestamp: true, Formatter: log.LogfmtFormatter}),
		"json":    log.NewWithOptions(sink{}, log.Options{ReportTimestamp: true, Formatter: log.JSONFormatter}),
	}
	for name, logger := range cases {
		b.Run(name, func(b *testing.B) {
			set := metrics.New()
			defer set.Close()
			s := &Server{cfg: Config{Log: logger, Metrics: set}}
			b.ReportAllocs()
			for b.Loop() {
				s.recordDecision(req, d)
			}
		})
	}
}
