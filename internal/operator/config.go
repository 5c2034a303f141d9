// Package operator implements the HTTP API for operators: settings documents, the state
// of instances, health, readiness and metrics. It is served on the operators' address and
// described in docs/OPERATIONS.md. Client is a client of this API.
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

// Config configures a Server. All fields except Bootstrap are required.
type Config struct {
	Store    docstore.Store
	Snapshot func() *settings.Snapshot // returns the settings in force; never nil
	// Documents returns all documents in force at this instance, including deleted ones.
	Documents func() []settings.Document
	// Apply puts documents that were just written in force at this instance immediately.
	Apply  func([]settings.Document)
	Status func() Status
	// Fleet requests the status of every instance that can be reached. The
	// operator's token is in the context; see Gather.
	Fleet   func(ctx context.Context) []Report
	Metrics http.Handler
	Ready   func() error // nil, or why the instance should receive no requests
	// SettingsComplete returns nil, or why changes can't be checked at this instance: it has not
	// received all settings since its start.
	SettingsComplete func() error
	Log              *log.Logger

	// Bootstrap is the hex SHA-256 of a token that is authorized for everything as
	// long as the system team has no token of its own.
	Bootstrap string
}

// ConfigError lists every fault of a Config.
type ConfigError struct{ Faults []string }

func (e *ConfigError) Error() string {
	return fmt.Sprintf("operator: invalid configuration: %s", strings.Join(e.Faults, "; "))
}

// Validate returns a *ConfigError that lists every fault, or nil.
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
	require(c.SettingsComplete != nil, "complete")
	require(c.Log != nil, "log")
	if c.Bootstrap != "" && !ValidTokenHash(c.Bootstrap) {
		faults = append(faults, "bootstrap is not a SHA-256 in 64 lower-case hex digits")
	}
	if faults != nil {
		return &ConfigError{Faults: faults}
	}
	return nil
}

// ValidTokenHash reports whether s is the hash of a non-empty token, in the format of a
// team's document.
func ValidTokenHash(s string) bool {
	raw, err := hex.DecodeString(s)
	return err == nil && hex.EncodeToString(raw) == s && len(s) == len(settings.HashToken("")) && s != settings.HashToken("")
}
