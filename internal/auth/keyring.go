// Package auth finds the workspace that the API key of a request belongs to.
package auth

import (
	"crypto/sha256"

	"github.com/firlever/firlever/internal/routes"
)

// digest is the hash of a key. Lookups by hash don't leak, by memory location or timing, how much
// of a guessed key is correct.
type digest [sha256.Size]byte

// Keyring holds the keys of one version of the configuration. It is immutable and safe for
// concurrent use.
type Keyring struct {
	owners      map[digest]*routes.Workspace
	keyRequired bool
}

// NewKeyring returns the keyring of a configuration, in which every key has one owner.
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

// KeyRequired reports whether requests need a key, except those of routes that are open.
func (k *Keyring) KeyRequired() bool { return k.keyRequired }

// Owner returns the workspace that holds a key; nil if none does. The time that it takes does not
// depend on the number of keys.
func (k *Keyring) Owner(key string) *routes.Workspace {
	if key == "" {
		return nil
	}
	return k.owners[sha256.Sum256([]byte(key))]
}
