package edge

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/quota"
	"github.com/firlever/firlever/internal/steer"
	"github.com/firlever/firlever/platform"
)

// Reload reads the settings file again and applies its bounds. The identity of an instance and the
// addresses on which it listens don't change while it runs. If the file can't be read, nothing
// changes.
func (n *Node) Reload(path string) {
	s, err := platform.ReadSettings(path)
	if err != nil {
		n.cfg.Log.Error("settings not reloaded; the previous ones stay in force", "err", err)
		return
	}
	if s.Instance != n.cfg.Settings.Instance || s.Store != n.cfg.Settings.Store {
		n.cfg.Log.Warn("settings changed that need a restart", "instance", s.Instance, "store", s.Store)
	}
	if err := n.setBounds(s.Bounds); err != nil {
		n.cfg.Log.Error("bounds rejected; the previous ones stay in force", "err", err)
		return
	}
	n.cfg.Log.Info("settings reloaded", "grace", s.Bounds.Grace, "ttl", n.lookupTTL(), "retry-slack", s.Bounds.RetrySlack)
}

// setBounds puts bounds in force.
func (n *Node) setBounds(b platform.Bounds) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.fleet.SetBounds(boottime.Now(), steerBounds(b)); err != nil {
		return err
	}
	var err error
	n.quotas.WithLedger(func(l *quota.Ledger) { err = l.SetBounds(quotaBounds(b)) })
	if err != nil {
		return err
	}
	n.bounds.Store(&b)
	return nil
}

func steerBounds(b platform.Bounds) steer.Bounds {
	return steer.Bounds{
		RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack, RetryWindow: b.RetryWindow,
		ColdFactor: b.ColdFactor, ColdSlack: b.ColdSlack, CanaryShare: b.CanaryShare,
	}
}

// lookupTTL returns how long callers may cache the answer to a look-up.
func (n *Node) lookupTTL() time.Duration {
	if limit := n.bounds.Load().LookupTTL; limit > 0 {
		return min(n.cfg.LookupTTL, limit)
	}
	return n.cfg.LookupTTL
}

// WatchSettings reloads the settings file when it has changed without a signal, until ctx ends.
func (n *Node) WatchSettings(ctx context.Context, path string) {
	last := readFileVersion(path)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if now := readFileVersion(path); now != nil && !reflect.DeepEqual(now, last) {
			last = now
			n.Reload(path)
		}
	}
}

// fileVersion distinguishes two versions of a file.
type fileVersion struct {
	size    int64
	changed time.Time
}

func readFileVersion(path string) *fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return nil // a file that is being replaced is checked again later
	}
	return &fileVersion{size: info.Size(), changed: info.ModTime()}
}
