package edge

import "github.com/firlever/firlever/platform"

// Reload reads the settings file again. What an instance is and where it listens
// does not change while it runs; the bounds that are read at each use are taken.
func (n *Node) Reload(path string) {
	s, err := platform.ReadSettings(path)
	if err != nil {
		n.cfg.Log.Error("settings not reloaded; the old ones stay in force", "err", err)
		return
	}
	n.cfg.Log.Info("settings reloaded", "instance", s.Instance, "store", s.Store)
}
