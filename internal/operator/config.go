// Package operator serves operators: their settings, the state of instances,
// health, readiness and metrics. It speaks HTTP on the operators' address; see
// docs/OPERATIONS.md. Client is the other side.
package operator

import (
	"context"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"

	"github.com/charmbracelet/log"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/pkg/settings"
)

// Config is what a Server needs. Bootstrap may be empty; all else is needed.
type Config struct {
	Store    docstore.Store
	Snapshot func() *settings.Snapshot // in force; never nil
	// Documents are all documents in force here, deleted ones too.
	Documents func() []settings.Document
	// Apply puts documents that were just written in force at once here.
	Apply  func([]settings.Document)
	Status func() Status
	// Fleet asks every instance that can be reached for its status. The
	// operator's token is in the context; see Gather.
	Fleet   func(ctx context.Context) []Report
	Metrics http.Handler
	Ready   func() error // nil, or why the instance should get no work
	// Complete is nil, or why changes can't be checked here: not all settings
	// have arrived since the start.
	Complete func() error
	Log      *log.Logger

	// Bootstrap is the hex SHA-256 of a token that opens everything as long
	// as the system team has no token of its own.
	Bootstrap string
}

// ConfigError names every fault of a Config.
type ConfigError struct{ Faults []string }

func (e *ConfigError) Error() string {
	return fmt.Sprintf("operator: invalid configuration: %s", strings.Join(e.Faults, "; "))
}

// Validate returns a *ConfigError that names every fault, or nil.
func (c Config) Validate() error {
	var faults []string
	require := func(ok bool, name string) {
		if !ok {
			faults = append(faults, name+" is missing")
		}
	}
	require(c.Store != nil, "store")
	require(c.Snapshot != nil, "snapshot")
	require(c.Documents != nil, "documents")
	require(c.Apply != nil, "apply")
	require(c.Status != nil, "status")
	require(c.Fleet != nil, "fleet")
	require(c.Metrics != nil, "metrics")
	require(c.Ready != nil, "ready")
	require(c.Complete != nil, "complete")
	require(c.Log != nil, "log")
	if c.Bootstrap != "" && !ValidHash(c.Bootstrap) {
		faults = append(faults, "bootstrap is not a SHA-256 in 64 lower-case hex digits")
	}
	if faults != nil {
		return &ConfigError{Faults: faults}
	}
	return nil
}

// ValidHash says whether s is the hash of a token that is not empty, as a
// team's document holds it.
func ValidHash(s string) bool {
	raw, err := hex.DecodeString(s)
	return err == nil && hex.EncodeToString(raw) == s && len(s) == len(settings.HashToken("")) && s != settings.HashToken("")
}
