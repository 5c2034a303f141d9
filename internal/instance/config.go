// Package instance runs one entry instance: it puts sockets, files and timers
// round the node of package core.
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

// Config is what an instance is told at its start, by flags and environment
// variables.
type Config struct {
	ID        string // unique among instances
	Callers   string // address for callers, IP:port
	Peers     string // address for other instances, IP:port, TCP and UDP
	Operators string // address for operators, IP:port
	Place     string
	Domain    string
	Region    string
	Source    string // IP that connections to targets and peers come from; empty leaves it to the system

	AdvertiseCallers string // where callers find this instance, IP:port; empty for the address that it listens at
	AdvertisePeers   string // where other instances find it, IP:port, TCP and UDP; empty for the address that it listens at

	Join []string // peers' addresses of instances to begin with; may be empty

	Bootstrap string // hex SHA-256 of a token that opens everything until the system team has one

	ListProves bool          // the platform's list names an instance until its process has ended for certain
	Linger     time.Duration // the longest that a planned stop goes on serving cached look-ups
	Policy     core.Policy
	Seed       uint64 // of random choices; 0 takes one from the clock

	Store   docstore.Store                                      // required
	Dial    targets.Dial                                        // to targets and peers; nil takes the standard dialer
	Packet  func(address string) (net.PacketConn, error)        // opens the peers' UDP socket; nil takes the standard one
	Listen  func(network, address string) (net.Listener, error) // opens the TCP sockets; nil takes the standard one
	Checks  *invariant.Counter                                  // nil makes one
	Metrics *metrics.Set                                        // nil counts nothing
	Log     *log.Logger                                         // nil logs nothing
	Load    *overload.Meter                                     // of this process; nil refuses nothing for it
}

// Defaults fills in what is zero.
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

// ConfigError lists every fault of a Config at once.
type ConfigError struct{ Faults []string }

func (e *ConfigError) Error() string { return "instance: " + strings.Join(e.Faults, "; ") }

// Validate returns a *ConfigError that names every fault, or nil.
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

// advertised checks an address that others dial; empty is allowed.
func (f *faults) advertised(field, v string) {
	if v == "" {
		return
	}
	a, err := netip.ParseAddrPort(v)
	f.require(err == nil && a.Port() != 0 && !a.Addr().IsUnspecified(), field+" "+quote(v)+" is not IP:port to dial")
}

func quote(s string) string { return `"` + s + `"` }
