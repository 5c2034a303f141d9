package caller

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"time"
)

// Config configures a client. The zero value of each field but Entries selects
// the default, which is given last in the field's comment.
type Config struct {
	Entries  []string      // addresses of the first instances to contact, IP:port; at least one
	Connect  time.Duration // time-out for opening a connection; 500ms
	Ask      time.Duration // time-out for a lookup at one instance; 1s
	Pause    time.Duration // mean pause between lookups of a service after one failed; 500ms
	Avoid    time.Duration // back-off of an instance after a failure, in which it is tried last; doubled by each consecutive failure; 2s
	Attempts int           // most attempts for one request; 3
	Keys     int           // idempotency keys requested with a lookup; 16
	Burst    int           // most retries that the budget holds; 10
	Ratio    float64       // retries that each request adds to the budget, 0 to 1; 0.1
	Idle     int           // idle connections kept open to one instance; 64
	Seed     uint64        // of the jitter; a random one for 0

	// Dial opens connections; nil selects a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Defaults returns cfg with its zero fields set to their defaults, except Entries
// and Seed.
func (cfg Config) Defaults() Config {
	cfg.Connect = orDefault(cfg.Connect, 500*time.Millisecond)
	cfg.Ask = orDefault(cfg.Ask, time.Second)
	cfg.Pause = orDefault(cfg.Pause, 500*time.Millisecond)
	cfg.Avoid = orDefault(cfg.Avoid, 2*time.Second)
	cfg.Attempts = orDefault(cfg.Attempts, 3)
	cfg.Keys = orDefault(cfg.Keys, 16)
	cfg.Burst = orDefault(cfg.Burst, 10)
	cfg.Ratio = orDefault(cfg.Ratio, 0.1)
	cfg.Idle = orDefault(cfg.Idle, 64)
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	return cfg
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// Validate reports every fault of cfg at once, as a *ConfigError.
func (cfg Config) Validate() error {
	var faults []string
	if len(cfg.Entries) == 0 {
		faults = append(faults, "Entries: needs at least one address")
	}
	for _, entry := range cfg.Entries {
		if !validAddress(entry) {
			faults = append(faults, fmt.Sprintf("Entries: %q isn't IP:port", entry))
		}
	}
	durations := map[string]time.Duration{"Connect": cfg.Connect, "Ask": cfg.Ask, "Pause": cfg.Pause, "Avoid": cfg.Avoid}
	for _, name := range []string{"Connect", "Ask", "Pause", "Avoid"} {
		if durations[name] <= 0 {
			faults = append(faults, name+": must be above 0")
		}
	}
	numbers := map[string]int{"Attempts": cfg.Attempts, "Keys": cfg.Keys, "Burst": cfg.Burst, "Idle": cfg.Idle}
	for _, name := range []string{"Attempts", "Keys", "Burst", "Idle"} {
		if numbers[name] <= 0 {
			faults = append(faults, name+": must be above 0")
		}
	}
	if !(cfg.Ratio > 0 && cfg.Ratio <= 1) {
		faults = append(faults, "Ratio: must be above 0 and at most 1")
	}
	if len(faults) > 0 {
		return &ConfigError{Faults: faults}
	}
	return nil
}

// validAddress reports whether s is IP:port with a port other than 0 and no IPv6
// zone.
func validAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && a.Addr().Zone() == ""
}

// splitService splits team/service into its parts; ok is false if it is malformed.
func splitService(s string) (team, service string, ok bool) {
	team, service, ok = strings.Cut(s, "/")
	return team, service, ok && validName(team) && validName(service)
}

// validName reports whether s can be one segment of a path without escaping.
func validName(s string) bool {
	if s == "" || s == "." || s == ".." {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		return !letter && !strings.ContainsRune("-._", r)
	}) < 0
}
