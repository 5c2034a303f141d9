package caller

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"time"
)

// Config says how a client works. The zero value of each field but Entries
// stands for its default.
type Config struct {
	Entries  []string      // addresses of instances to begin with, IP:port; at least one
	Connect  time.Duration // longest wait for a connection; 500ms
	Ask      time.Duration // longest wait for one instance's answer to a look-up; 1s
	Pause    time.Duration // about how long to leave look-ups of a service alone after one failed; 500ms
	Avoid    time.Duration // how long an instance that failed once is tried last; each failure in a row doubles it; 2s
	Attempts int           // most instances tried for one request; 3
	Keys     int           // idempotency keys asked for with a look-up; 16
	Burst    int           // retries that may be made at once; 10
	Ratio    float64       // retries that each request adds to the budget, 0 to 1; 0.1
	Idle     int           // connections kept open to one instance; 64
	Seed     uint64        // of the jitter; 0 draws one

	// Dial opens connections; nil uses a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Defaults returns cfg with its zero fields set.
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

// validAddress says whether s is IP:port without a zone and with a port.
func validAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && a.Addr().Zone() == ""
}

// splitService returns the two parts of team/service.
func splitService(s string) (team, service string, ok bool) {
	team, service, ok = strings.Cut(s, "/")
	return team, service, ok && validName(team) && validName(service)
}

// validName says whether s can be one segment of a path as it is.
func validName(s string) bool {
	if s == "" || s == "." || s == ".." {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		return !letter && !strings.ContainsRune("-._", r)
	}) < 0
}
