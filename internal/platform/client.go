package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// idleConns is the number of connections to the platform that are kept open:
// one for a waiting watch and a few for calls beside it.
const idleConns = 8

// Client is a Store that speaks the protocol of docs/platform.md over HTTP.
// Each call lasts no longer than its context. It is safe for concurrent use.
type Client struct {
	base string // scheme and authority, without a path
	http *http.Client
}

var _ Store = (*Client)(nil)

// NewClient makes a client of the service at address, IP:port.
func NewClient(address string) *Client {
	t := &http.Transport{
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{base: "http://" + address, http: &http.Client{Transport: t}}
}

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads one path.
func (c *Client) Get(ctx context.Context, path string) (Entry, error) {
	if err := CheckPath("Get", path); err != nil {
		return Entry{}, err
	}
	r := request{call: "Get", method: http.MethodGet, route: RouteEntry, path: path}
	r.query = url.Values{ParamPath: {path}}
	var e Entry
	err := c.do(ctx, r, &e)
	return e, err
}

// List reads every entry under a prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	r := request{call: "List", method: http.MethodGet, route: RouteEntries, path: prefix}
	r.query = url.Values{ParamPrefix: {prefix}}
	var a EntriesAnswer
	err := c.do(ctx, r, &a)
	return a.Entries, a.Revision, err
}

// Swap writes value if the path still has the given version. A value over
// MaxValue is refused before it is sent.
func (c *Client) Swap(ctx context.Context, path string, version uint64, value []byte) (Entry, error) {
	if err := CheckValue(path, value); err != nil {
		return Entry{}, err
	}
	a, err := c.write(ctx, "Swap", http.MethodPut, path, version, value)
	if err != nil {
		return Entry{}, err
	}
	return Entry{Path: path, Version: a.Version, Revision: a.Revision, Value: value}, nil
}

// Delete removes a path if it still has the given version.
func (c *Client) Delete(ctx context.Context, path string, version uint64) (Entry, error) {
	a, err := c.write(ctx, "Delete", http.MethodDelete, path, version, nil)
	if err != nil {
		return Entry{}, err
	}
	return Entry{Path: path, Version: a.Version, Revision: a.Revision, Deleted: true}, nil
}

func (c *Client) write(ctx context.Context, call, method, path string, version uint64, value []byte) (WriteAnswer, error) {
	if err := CheckPath(call, path); err != nil {
		return WriteAnswer{}, err
	}
	r := request{call: call, method: method, route: RouteEntry, path: path, version: version, body: value}
	r.query = url.Values{ParamPath: {path}, ParamVersion: {strconv.FormatUint(version, 10)}}
	var a WriteAnswer
	err := c.do(ctx, r, &a)
	return a, err
}

// Acquire takes or renews a lease. Until counts from before the call was sent.
func (c *Client) Acquire(ctx context.Context, path, holder string, ttl time.Duration) (Lease, error) {
	r := request{call: "Acquire", method: http.MethodPut, route: RouteLease, path: path}
	r.query = url.Values{
		ParamPath:   {path},
		ParamHolder: {holder},
		ParamTTL:    {strconv.FormatInt(ttl.Milliseconds(), 10)},
	}
	sent := time.Now()
	var a LeaseAnswer
	if err := c.do(ctx, r, &a); err != nil {
		return Lease{}, err
	}
	return Lease{Path: path, Holder: holder, Epoch: a.Epoch, Until: sent.Add(ttl)}, nil
}

// Release gives a lease up.
func (c *Client) Release(ctx context.Context, lease Lease) error {
	r := request{call: "Release", method: http.MethodDelete, route: RouteLease, path: lease.Path}
	r.query = url.Values{
		ParamPath:   {lease.Path},
		ParamHolder: {lease.Holder},
		ParamEpoch:  {strconv.FormatUint(lease.Epoch, 10)},
	}
	return c.do(ctx, r, &LeaseAnswer{})
}

// Watch waits for entries under prefix past a revision. The context must allow
// for wait and the way there and back.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error) {
	r := request{call: "Watch", method: http.MethodGet, route: RouteWatch, path: prefix}
	r.query = url.Values{
		ParamPrefix: {prefix},
		ParamAfter:  {strconv.FormatUint(after, 10)},
		ParamWait:   {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var a EntriesAnswer
	if err := c.do(ctx, r, &a); err != nil {
		return nil, after, err
	}
	return a.Entries, a.Revision, nil
}

// Register puts this instance in the platform's list, or renews its line.
func (c *Client) Register(ctx context.Context, in Instance) error {
	body, err := encode("Register", in)
	if err != nil {
		return err
	}
	r := request{call: "Register", method: http.MethodPut, route: RouteInstance, path: in.ID, body: body}
	return c.do(ctx, r, &LeaseAnswer{})
}

// Instances reads the list of instances.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	r := request{call: "Instances", method: http.MethodGet, route: RouteInstances}
	var a InstancesAnswer
	err := c.do(ctx, r, &a)
	return a.Instances, err
}
