package instance

import "github.com/firlever/firlever/internal/core"

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
func (in *Instance) logSwap(d core.SwapRoster, err error) {
	if in.cfg.Log != nil {
		in.cfg.Log.Info("roster", "place", in.cfg.Place, "version", d.Next.Version,
			"reason", d.Reason, "removed", d.Removed, "members", len(d.Next.Members), "err", err)
	}
}
