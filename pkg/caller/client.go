package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/http1"
)

// Client looks up services and sends requests. It is safe for concurrent use;
// a program needs only one.
type Client struct {
	cfg       Config
	transport *http1.Transport
	budget    *budget

	mu       sync.Mutex
	random   *rand.Rand
	services map[string]*serviceState // by team/service; only services that have been looked up
	avoided  *avoidList
}

// New returns a client. The error is a *ConfigError that lists every fault.
func New(cfg Config) (*Client, error) {
	cfg = cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, errors.Annotate(err, "caller.New")
	}
	cfg.Entries = slices.Clone(cfg.Entries)
	seed := cfg.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	c := &Client{
		cfg:      cfg,
		budget:   newBudget(cfg.Burst, cfg.Ratio),
		random:   rand.New(rand.NewPCG(seed, seed)),
		services: map[string]*serviceState{},
		avoided:  newAvoidList(cfg.Avoid, cfg.Connect),
	}
	c.transport = http1.NewTransport(&http.Transport{
		DialContext:         c.dial,
		DisableCompression:  true, // responses are passed on unchanged, with their original length
		MaxIdleConnsPerHost: cfg.Idle,
		IdleConnTimeout:     time.Minute,
	})
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Connect)
	defer cancel()
	return c.cfg.Dial(ctx, network, address)
}

// jitter returns d times a random factor between low and high. It needs c.mu.
func (c *Client) jitter(d time.Duration, low, high float64) time.Duration {
	return time.Duration(float64(d) * (low + (high-low)*c.random.Float64()))
}

// shuffledEntries returns the configured entries in random order. It needs c.mu.
func (c *Client) shuffledEntries() []string {
	list := slices.Clone(c.cfg.Entries)
	c.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
