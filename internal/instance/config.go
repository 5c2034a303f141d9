// Package instance runs one entry instance: it connects the node of package core to
// sockets, files and timers.
package instance

import (
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/overload"
	"github.com/firlever/firlever/internal/targets"
	"github.com/firlever/firlever/pkg/settings"
)

// Config is the configuration of an instance, set by flags and environment variables.
type Config struct {
	ID        string // unique among instances
	Callers   string // address for callers, IP:port
	Peers     string // address for other instances, IP:port, TCP and UDP
	Operators string // address for operators, IP:port
	Place     string
	Domain    string
	Region    string
	Source    string // local IP of connections to targets and peers; empty leaves it to the system

	AdvertiseCallers string // address given to callers, IP:port; empty for Callers
	AdvertisePeers   string // address given to other instances, IP:port, TCP and UDP; empty for Peers

	Join []string // seed addresses, those of other instances' peer listeners; may be empty

	Bootstrap string // hex SHA-256 of a token with full access until the system team has a token

	MemoryMB    int // memory of the process; 0 for that of the machine
	Descriptors int // descriptors of the process; 0 for its limit

	ListProves bool          // the platform's list keeps an instance until its process has certainly ended
	Linger     time.Duration // longest time that a planned stop keeps serving callers with cached look-ups
	Policy     core.Policy
	Seed       uint64 // seed of random choices; 0 draws a random one

	Store    docstore.Store                                      // required
	Dial     targets.Dial                                        // dials targets and peers; nil for targets.DialFrom(Source)
	Packet   func(address string) (net.PacketConn, error)        // opens the peers' UDP socket; nil for net.ListenPacket
	Listen   func(network, address string) (net.Listener, error) // opens the TCP sockets; nil for net.Listen
	Checks   *invariant.Counter                                  // nil creates one
	Metrics  *metrics.Set                                        // nil disables metrics
	Log      *log.Logger                                         // nil disables logging
	Overload *overload.Meter                                     // load of this process; nil disables load shedding
}

// Defaults sets the zero fields that have a default.
func (c *Config) Defaults() {
	if c.Domain == "" {
		c.Domain = c.Place
	}
	if c.Linger == 0 {
		c.Linger = 6 * time.Second
	}
	if c.Policy == "" {
		c.Policy = core.PolicyOwner
	}
	if c.Listen == nil {
		c.Listen = net.Listen
	}
	if c.Checks == nil {
		c.Checks = invariant.New(nil)
	}
}

// ConfigError lists all faults of a Config.
type ConfigError struct{ Faults []string }

func (e *ConfigError) Error() string { return "instance: " + strings.Join(e.Faults, "; ") }

// Validate returns a *ConfigError that lists every fault, or nil.
func (c *Config) Validate() error {
	f := faults{}
	f.name("id", c.ID)
	f.name("place", c.Place)
	f.name("domain", c.Domain)
	f.name("region", c.Region)
	f.address("callers", c.Callers)
	f.address("peers", c.Peers)
	f.address("operators", c.Operators)
	f.advertised("advertise callers", c.AdvertiseCallers)
	f.advertised("advertise peers", c.AdvertisePeers)
	if _, err := netip.ParseAddr(c.Source); c.Source != "" {
		f.require(err == nil, "source "+quote(c.Source)+" is not an IP")
	}
	for _, a := range c.Join {
		f.address("join", a)
	}
	f.require(c.Linger >= 0, "linger is negative")
	f.require(c.MemoryMB >= 0, "memory is negative")
	f.require(c.Descriptors >= 0, "descriptors is negative")
	f.require(c.Store != nil, "platform is not set")
	if len(f.list) > 0 {
		return &ConfigError{Faults: f.list}
	}
	return nil
}

type faults struct{ list []string }

func (f *faults) require(ok bool, fault string) {
	if !ok {
		f.list = append(f.list, fault)
	}
}

func (f *faults) name(field, v string) {
	f.require(settings.ValidName(v), field+" "+quote(v)+" is not a name (lower-case letters, digits, '-')")
}

func (f *faults) address(field, v string) {
	a, err := netip.ParseAddrPort(v)
	f.require(err == nil && a.Addr().IsValid(), field+" "+quote(v)+" is not IP:port")
}

// advertised checks an address that others dial. An empty one is valid.
func (f *faults) advertised(field, v string) {
	if v == "" {
		return
	}
	a, err := netip.ParseAddrPort(v)
	f.require(err == nil && a.Port() != 0 && !a.Addr().IsUnspecified(), field+" "+quote(v)+" is not IP:port to dial")
}

func quote(s string) string { return `"` + s + `"` }
