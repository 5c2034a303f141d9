package instance

import (
	"context"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/metrics"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// publishGauges keeps the gauges up to date.
func (in *Instance) publishGauges(ctx context.Context) {
	for ctx.Err() == nil {
		in.cfg.Metrics.SetGauges(in.gauges())
		sleep(ctx, gaugeInterval)
	}
}

func (in *Instance) gauges() metrics.Gauges {
	st := in.Status()
	state := metrics.Gauges{
		Queued: st.Queued, Peers: st.Peers, Confirmed: st.Confirmed, Counts: in.cfg.Checks.Counts(),
	}
	for _, s := range st.Services {
		state.Services = append(state.Services, metrics.Service{
			Name: s.Service.String(), Limit: s.Usable, InFlight: s.InFlight,
		})
	}
	return state
}

// Status returns the node's current status.
func (in *Instance) Status() core.Status {
	var st core.Status
	in.dispatcher.WithNode(func(now time.Time, n *core.Node) { st = n.Status(now) })
	return st
}
