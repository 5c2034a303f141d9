package instance

import (
	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/metrics"
)

func (in *Instance) platformFailed(call string, err error) {
	in.cfg.Metrics.CountPlatformFailure(call)
	if in.cfg.Log != nil {
		in.cfg.Log.Warn("platform call failed", "call", call, "err", err)
	}
}

func (in *Instance) logError(what string, err error) {
	if in.cfg.Log != nil {
		in.cfg.Log.Error(what, "err", err)
	}
}

// acceptFailed logs and counts that a connection could not be accepted.
func (in *Instance) acceptFailed(err error) {
	in.cfg.Metrics.CountDecision(metrics.Decision{Kind: "accept-failed"})
	in.logError("connection not accepted", err)
}

// logRestored logs that the platform's store was restored from a snapshot.
func (in *Instance) logRestored(epoch uint64) {
	if in.cfg.Log != nil {
		in.cfg.Log.Warn("store restored", "epoch", epoch, "root", in.docs.Root())
	}
}

// logRosterSwap logs a roster change, made by a placement decision of the node, and its result.
func (in *Instance) logRosterSwap(d core.SwapRoster, err error) {
	if in.cfg.Log != nil {
		in.cfg.Log.Info("roster", "place", in.cfg.Place, "version", d.Next.Version,
			"reason", d.Reason, "removed", d.Removed, "members", len(d.Next.Members), "err", err)
	}
}

// logPartition counts and logs the begin or the end of a partition from the place's targets.
func (in *Instance) logPartition(d core.PartitionChanged) {
	reason := "ended"
	if d.Partitioned {
		reason = "began"
	}
	in.cfg.Metrics.CountDecision(metrics.Decision{Kind: "partition", Reason: reason})
	switch {
	case in.cfg.Log == nil:
	case d.Partitioned:
		in.cfg.Log.Warn("partitioned from targets", "place", in.cfg.Place, "probes", d.Probes, "first-failure", in.now().Sub(d.Since))
	default:
		in.cfg.Log.Info("targets reached again", "place", in.cfg.Place, "probes", d.Probes)
	}
}

// logNotice logs a notice of a target about the requests that it accepts.
func (in *Instance) logNotice(d core.ReportNotice) {
	in.cfg.Metrics.CountDecision(metrics.Decision{Kind: "notice", Service: d.Target.Service.String()})
	if in.cfg.Log != nil {
		in.cfg.Log.Info("target notice", "service", d.Target.Service, "target", d.Target.Name, "leaving", d.Notice.Leaving,
			"limited", d.Notice.HasLimit, "limit", d.Notice.Limit, "rest", d.Notice.BackOff, "unread", d.Unreadable)
	}
}
