package docstore

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/platform"
)

// Key prefixes in the platform's store.
const (
	entryPrefix    = "firlever/documents" // followed by a path
	instancePrefix = "firlever/members/"  // followed by an instance ID
)

// registrationTTL is how long an instance stays in the list without a renewal. Instances
// renew at least every 29 s, so one lost renewal removes the instance until the next one
// succeeds.
const registrationTTL = 31 * time.Second

// Client is a Store over the platform's metadata store. Each entry is stored under one
// key, and its value contains the version; a deleted entry keeps its key and version.
// Instances are registered under leases. A Client is safe for concurrent use.
type Client struct {
	store *platform.Store

	mu            sync.Mutex
	registrations map[string]registration // registrations renewed by this client, by instance ID; guarded by mu
}

// registration is an instance's entry in the list as written, with its lease.
type registration struct {
	instance Instance
	lease    platform.Lease
}

var _ Store = (*Client)(nil)

// NewClient returns a client for a store.
func NewClient(store *platform.Store) *Client {
	return &Client{store: store, registrations: make(map[string]registration)}
}

// SetBudget makes the platform's answers take from a budget what they hold. It must be called before the first call.
func (c *Client) SetBudget(b *http1.Budget) { c.store.SetBudget(b) }

// Close closes the idle connections to the platform.
func (c *Client) Close() { c.store.Close() }

// Get reads one path. A path that was never written, or is deleted, gives *NotFoundError.
func (c *Client) Get(ctx context.Context, path string) (Entry, error) {
	e, _, err := c.read(ctx, "Get", path)
	if err == nil && (e.Version == 0 || e.Deleted) {
		err = &NotFoundError{Path: path}
	}
	if err != nil {
		return Entry{}, err
	}
	return e, nil
}

// read reads an entry, deleted or not, and the revision that a conditional write must
// expect. An entry that was never written has version 0.
func (c *Client) read(ctx context.Context, call, path string) (Entry, platform.Revision, error) {
	if err := CheckPath(call, path); err != nil {
		return Entry{}, platform.Revision{}, err
	}
	item, err := c.store.Get(ctx, entryPrefix+path)
	var missing *platform.MissingError
	if errors.As(err, &missing) {
		return Entry{Path: path}, platform.Revision{}, nil
	}
	if err != nil {
		return Entry{}, platform.Revision{}, readError(call, err)
	}
	e, err := decodeEntry(item)
	return e, item.Changed, err
}

// List reads every entry under a prefix, and the revision of the first page. Changes
// after that revision are found by Watch.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, platform.Revision, error) {
	all, revision, err := c.list(ctx, "List", prefix)
	if err != nil {
		return nil, platform.Revision{}, err
	}
	var entries []Entry
	for _, e := range all {
		if !e.Deleted {
			entries = append(entries, e)
		}
	}
	return entries, revision, nil
}

// list reads every entry under a prefix, including deleted ones.
func (c *Client) list(ctx context.Context, call, prefix string) ([]Entry, platform.Revision, error) {
	items, revision, err := c.store.List(ctx, entryPrefix+prefix, false)
	if err != nil {
		return nil, platform.Revision{}, readError(call, err)
	}
	entries := make([]Entry, 0, len(items))
	for _, item := range items {
		e, err := decodeEntry(item)
		if err != nil {
			return nil, platform.Revision{}, err
		}
		entries = append(entries, e)
	}
	return entries, revision, nil
}

// Swap writes value if the path still has the given version. A value over
// MaxValue is refused before it is sent.
func (c *Client) Swap(ctx context.Context, path string, version uint64, value []byte) (Entry, error) {
	if err := CheckValue(path, value); err != nil {
		return Entry{}, err
	}
	return c.write(ctx, "Swap", Entry{Path: path, Version: version + 1, Value: value})
}

// Delete removes a path if it still has the given version.
func (c *Client) Delete(ctx context.Context, path string, version uint64) (Entry, error) {
	if _, err := c.Get(ctx, path); err != nil {
		return Entry{}, err
	}
	return c.write(ctx, "Delete", Entry{Path: path, Version: version + 1, Deleted: true})
}

// write writes an entry over the previous version. It reads the version first, and the
// write succeeds only if nothing has changed since.
func (c *Client) write(ctx context.Context, call string, e Entry) (Entry, error) {
	current, changed, err := c.read(ctx, call, e.Path)
	if err != nil {
		return Entry{}, err
	}
	expected := e.Version - 1
	if current.Version != expected {
		return Entry{}, &ConflictError{Path: e.Path, Expected: expected, Current: current}
	}
	if e.Revision, err = c.put(ctx, e, changed); err != nil {
		return Entry{}, swapError(call, e.Path, expected, err)
	}
	return e, nil
}

// put writes an entry if its key was last changed at the revision changed.
func (c *Client) put(ctx context.Context, e Entry, changed platform.Revision) (platform.Revision, error) {
	key := entryPrefix + e.Path
	return c.store.Do(ctx, platform.Txn{
		If:  []platform.Condition{{Key: key, Changed: changed}},
		Put: []platform.Write{{Key: key, Value: encodeEntry(e)}},
	})
}

// Restore writes an entry at its own version if the path is at an earlier version.
func (c *Client) Restore(ctx context.Context, e Entry) error {
	if err := CheckValue(e.Path, e.Value); err != nil {
		return err
	}
	current, changed, err := c.read(ctx, "Restore", e.Path)
	if err != nil || current.Version >= e.Version {
		return err
	}
	if _, err := c.put(ctx, e, changed); err != nil {
		return swapError("Restore", e.Path, current.Version, err)
	}
	return nil
}

// Watch waits for entries under prefix that change after a revision. If the store no
// longer has the history since then, it lists all newer entries instead.
func (c *Client) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]Entry, platform.Revision, error) {
	events, revision, err := c.store.Watch(ctx, entryPrefix+prefix, after, min(wait, platform.MaxWait))
	var historyLost *platform.HistoryError
	if errors.As(err, &historyLost) {
		return c.listSince(ctx, prefix, after)
	}
	if err != nil {
		return nil, after, readError("Watch", err)
	}
	last := make(map[string]platform.Revision, len(events)) // last change of each key in the response
	for _, event := range events {
		last[event.Key] = event.Changed
	}
	var entries []Entry
	for _, event := range events {
		if event.Removed || event.Changed != last[event.Key] {
			continue // entries are never removed; only the latest state of each is returned
		}
		e, err := decodeEntry(event.Item)
		if err != nil {
			return nil, after, err
		}
		entries = append(entries, e)
	}
	return entries, revision, nil
}

// listSince reads the entries that were written after a revision, including deleted ones.
func (c *Client) listSince(ctx context.Context, prefix string, after platform.Revision) ([]Entry, platform.Revision, error) {
	all, revision, err := c.list(ctx, "Watch", prefix)
	if err != nil {
		return nil, after, err
	}
	var entries []Entry
	for _, e := range all {
		if e.Revision.After(after) {
			entries = append(entries, e)
		}
	}
	return entries, platform.Later(after, revision), nil
}

// Register adds this instance to the list, or renews its registration.
func (c *Client) Register(ctx context.Context, in Instance) error {
	if err := CheckPath("Register", "/"+in.ID); err != nil || in.ID == "" {
		return &InvalidError{Call: "Register", Reason: "ID missing or too long"}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if previous, ok := c.registrations[in.ID]; ok && previous.instance == in {
		renewed, err := c.renew(ctx, previous)
		if renewed || err != nil {
			return writeError("Register", in.ID, err)
		}
	}
	lease, err := c.store.Grant(ctx, registrationTTL)
	if err != nil {
		return writeError("Register", in.ID, err)
	}
	value, err := marshal("Register", in)
	if err != nil {
		return err
	}
	put := platform.Write{Key: instancePrefix + in.ID, Value: value, Lease: lease}
	if _, err := c.store.Do(ctx, platform.Txn{Put: []platform.Write{put}}); err != nil {
		return writeError("Register", in.ID, err)
	}
	c.registrations[in.ID] = registration{instance: in, lease: lease}
	return nil
}

// renew renews a registration, and reports whether it still exists. c.mu is held.
func (c *Client) renew(ctx context.Context, reg registration) (bool, error) {
	err := c.store.Renew(ctx, reg.lease)
	var epochChanged *platform.EpochError
	switch {
	case errors.As(err, &epochChanged):
		return c.verify(ctx, reg)
	case platform.LeaseLost(err):
		return false, nil
	}
	return err == nil, err
}

// verify reports whether a store that was restored from a snapshot still has a registration
// as it was written, under its lease. The lease's number alone proves nothing, as it may
// since have been given to another lease. c.mu is held.
func (c *Client) verify(ctx context.Context, reg registration) (bool, error) {
	item, err := c.store.Get(ctx, instancePrefix+reg.instance.ID)
	var missing *platform.MissingError
	if errors.As(err, &missing) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	var in Instance
	if json.Unmarshal(item.Value, &in) != nil || in != reg.instance || item.Lease.Number() != reg.lease.Number() {
		return false, nil
	}
	reg.lease = item.Lease
	c.registrations[reg.instance.ID] = reg
	return true, nil
}

// Instances reads the list of instances, which may be seconds old.
func (c *Client) Instances(ctx context.Context) ([]Instance, platform.Revision, error) {
	items, at, err := c.store.List(ctx, instancePrefix, true)
	if err != nil {
		return nil, platform.Revision{}, readError("Instances", err)
	}
	list := make([]Instance, 0, len(items))
	for _, item := range items {
		var in Instance
		if err := json.Unmarshal(item.Value, &in); err != nil {
			return nil, platform.Revision{}, &FormatError{Path: item.Key, Reason: err.Error()}
		}
		list = append(list, in)
	}
	return list, at, nil
}

// readError converts the error of a call that changes nothing to a type of this package.
func readError(call string, err error) error {
	var notDone *platform.NotDoneError
	if errors.As(err, &notDone) {
		return notDoneError(call, notDone)
	}
	return &UnavailableError{Call: call, Err: err}
}

// writeError converts the error of a call that may have changed something to a type of
// this package; nil stays nil.
func writeError(call, path string, err error) error {
	var uncertain *platform.UncertainError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &uncertain) && uncertain.Sent:
		return &UncertainError{Path: path, Err: err}
	}
	return readError(call, err)
}

// swapError converts the error of a write that expected a version to a type of this
// package.
func swapError(call, path string, expected uint64, err error) error {
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return writeError(call, path, err)
	}
	for _, item := range conflict.Items {
		current, err := decodeEntry(item)
		if err == nil && current.Path == path {
			return &ConflictError{Path: path, Expected: expected, Current: current}
		}
	}
	return &UncertainError{Path: path, Err: err}
}

// notDoneError converts the error of a call that the platform did not perform to a type of
// this package.
func notDoneError(call string, err *platform.NotDoneError) error {
	switch err.Status {
	case http.StatusTooManyRequests:
		return &BusyError{Call: call}
	case http.StatusServiceUnavailable:
		return &UnavailableError{Call: call, Err: err}
	}
	return &InvalidError{Call: call, Reason: err.Error()}
}

// pathOf returns the path of an entry's key.
func pathOf(key string) string { return strings.TrimPrefix(key, entryPrefix) }
