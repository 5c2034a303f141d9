package instance

import (
	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/metrics"
)

func (in *Instance) platformFailed(call string, err error) {
	in.cfg.Metrics.PlatformFailed(call)
	if in.cfg.Log != nil {
		in.cfg.Log.Warn("platform failed", "call", call, "err", err)
	}
}

func (in *Instance) logError(what string, err error) {
	if in.cfg.Log != nil {
		in.cfg.Log.Error(what, "err", err)
	}
}

// logSwap writes the line of a placement decision.
// logRestored logs that the platform's store has come back from a copy of itself.
func (in *Instance) logRestored(epoch uint64) {
	if in.cfg.Log != nil {
		in.cfg.Log.Warn("store restored", "epoch", epoch, "root", in.docs.Root())
	}
}

func (in *Instance) logRosterSwap(d core.SwapRoster, err error) {
	if in.cfg.Log != nil {
		in.cfg.Log.Info("roster", "place", in.cfg.Place, "version", d.Next.Version,
			"reason", d.Reason, "removed", d.Removed, "members", len(d.Next.Members), "err", err)
	}
}

// logNotice writes the line of what a target said of the requests that it wants.
func (in *Instance) logNotice(d core.TargetNews) {
	in.cfg.Metrics.Decided(metrics.Decision{Kind: "notice", Service: d.Target.Service.String()})
	if in.cfg.Log != nil {
		in.cfg.Log.Info("target notice", "service", d.Target.Service, "target", d.Target.Name, "leaving", d.Notice.Leaving,
			"limited", d.Notice.Limited, "limit", d.Notice.Limit, "rest", d.Notice.Rest, "unread", d.Unread)
	}
}
