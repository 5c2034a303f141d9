// Package member tracks which instances are alive, leaving, dead or restarted under a new
// incarnation. It follows SWIM: random probes, indirect probes, suspicion that the suspected member
// refutes, and updates that are piggybacked on the probes.
//
// The package does no I/O: the caller passes in the time and the received packets, and sends the
// packets that are returned. It is not safe for concurrent use.
package member

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/firlever/firlever/internal/docstore"
)

// Config is fixed for the life of a List.
type Config struct {
	Self  docstore.Instance
	Seeds []string // addresses to contact at the start, IP:port

	Probe    time.Duration // period in which each place peer is pinged once
	Timeout  time.Duration // time to wait for an ack before indirect probes
	Suspect  time.Duration // time for a suspected member to refute
	Pause    time.Duration // a longer gap between two calls means that the process was paused
	Forget   time.Duration // how long a dead and unlisted member is kept
	Indirect int           // number of helpers asked to ping a silent member

	PlaceProbes  int // maximum place peers pinged per Probe
	DomainProbes int // pings to random members of the domain per Probe
	RemoteProbes int // pings beyond the domain per Probe
	Sample       int // maximum members held of each place beyond the domain
	MaxDomain    int // maximum members held of the domain
	MaxPlaces    int // maximum places beyond the domain of which members are held

	Seed uint64 // seeds the random choices
}

// Defaults sets the default for each field that is zero.
func (c *Config) Defaults() {
	orDefault(&c.Probe, time.Second)
	orDefault(&c.Timeout, 300*time.Millisecond)
	orDefault(&c.Suspect, 3*time.Second)
	orDefault(&c.Pause, 1500*time.Millisecond)
	orDefault(&c.Forget, 10*time.Minute)
	orDefault(&c.Indirect, 3)
	orDefault(&c.PlaceProbes, 16)
	orDefault(&c.DomainProbes, 3)
	orDefault(&c.RemoteProbes, 2)
	orDefault(&c.Sample, 3)
	orDefault(&c.MaxDomain, 512)
	orDefault(&c.MaxPlaces, 1024)
}

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// ConfigError lists every fault of a Config.
type ConfigError struct{ Faults []string }

func (e *ConfigError) Error() string {
	return "member: " + strings.Join(e.Faults, "; ")
}

// Validate returns a *ConfigError that lists every fault, or nil.
func (c *Config) Validate() error {
	var faults []string
	fault := func(bad bool, format string, args ...any) {
		if bad {
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	fault(!validInstance(c.Self), "self: id, address, place and domain are needed, at most %d bytes each", maxName)
	for _, s := range c.Seeds {
		fault(!validAddress(s), "seeds: %q is not IP:port", s)
	}
	fault(c.Timeout <= 0 || c.Probe < 2*c.Timeout, "probe: %s is less than twice the timeout of %s", c.Probe, c.Timeout)
	fault(c.Suspect < c.Probe, "suspect: %s is less than probe, %s", c.Suspect, c.Probe)
	fault(c.Pause <= c.Probe, "pause: %s is not longer than probe, %s", c.Pause, c.Probe)
	fault(c.Forget <= 2*c.Suspect, "forget: %s is not longer than twice suspect, %s", c.Forget, c.Suspect)
	fault(c.Indirect < 0, "indirect: %d is negative", c.Indirect)
	for _, n := range c.counts() {
		fault(n.n < 1, "%s: %d is less than 1", n.name, n.n)
	}
	if faults != nil {
		return &ConfigError{Faults: faults}
	}
	return nil
}

type namedCount struct {
	name string
	n    int
}

func (c *Config) counts() []namedCount {
	return []namedCount{
		{"place probes", c.PlaceProbes},
		{"domain probes", c.DomainProbes},
		{"remote probes", c.RemoteProbes},
		{"sample", c.Sample},
		{"max domain", c.MaxDomain},
		{"max places", c.MaxPlaces},
	}
}

// maxName limits each string that is kept from a packet, in bytes.
const maxName = 64

func validInstance(in docstore.Instance) bool {
	for _, s := range []string{in.ID, in.PeerAddress, in.Place, in.Domain} {
		if s == "" || len(s) > maxName {
			return false
		}
	}
	for _, s := range []string{in.CallersAddress, in.OperatorsAddress, in.Region} {
		if len(s) > maxName {
			return false
		}
	}
	return validAddress(in.PeerAddress)
}

func validAddress(s string) bool {
	addr, err := netip.ParseAddrPort(s)
	return err == nil && addr.Port() != 0
}
