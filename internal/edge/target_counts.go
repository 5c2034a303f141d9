package edge

import (
	"context"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/mirror"
)

// targetCountInterval is how often the counts of targets are compared with those last logged.
const targetCountInterval = time.Second

// targetCounts are the targets in use, and what the store holds. They differ for long only if
// registrations are unusable or changes of the store were lost.
type targetCounts struct {
	inUse  int
	stored mirror.ReplicaCounts
}

func (n *Node) targetCounts() targetCounts {
	stored := n.mirror.Counts()
	n.mu.Lock()
	defer n.mu.Unlock()
	return targetCounts{inUse: n.fleet.Len(), stored: stored}
}

// logTargetCounts logs the counts of targets whenever they have changed, until ctx ends.
func (n *Node) logTargetCounts(ctx context.Context) {
	ticker := time.NewTicker(targetCountInterval)
	defer ticker.Stop()
	var logged targetCounts
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		counts := n.targetCounts()
		if counts == logged {
			continue
		}
		logged = counts
		n.cfg.Log.Info("targets counted", "in-use", counts.inUse, "stored", counts.stored.Targets, "kept", counts.stored.Kept, "hidden", counts.stored.Hidden,
			"redundant", n.redundantDropped.Load(), "revision", n.mirror.Revision(), "store-age", n.mirror.Age(boottime.Now()))
	}
}
