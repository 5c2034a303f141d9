// Package auth answers whose API key a request bears.
package auth

import (
	"crypto/sha256"

	"github.com/firlever/firlever/internal/routes"
)

// digest stands for a key: neither the place of a key in memory nor the time of a
// look-up tells how much of a guess is right.
type digest [sha256.Size]byte

// Keyring holds the keys of one version of the configuration. It doesn't change, and
// is safe for concurrent use.
type Keyring struct {
	owners      map[digest]*routes.Workspace
	keyRequired bool
}

// NewKeyring makes the keyring of a configuration, in which no key has two owners.
func NewKeyring(cfg *routes.Config) *Keyring {
	k := &Keyring{owners: make(map[digest]*routes.Workspace), keyRequired: len(cfg.Workspaces) > 0}
	for i := range cfg.Workspaces {
		w := &cfg.Workspaces[i]
		for _, key := range w.Keys {
			k.owners[sha256.Sum256([]byte(key))] = w
		}
	}
	return k
}

// Needed says whether requests need a key, but for those of open routes.
func (k *Keyring) Needed() bool { return k.keyRequired }

// Owner returns the workspace that holds a key; nil if none does. It takes as long for
// any number of keys.
func (k *Keyring) Owner(key string) *routes.Workspace {
	if key == "" {
		return nil
	}
	return k.owners[sha256.Sum256([]byte(key))]
}
