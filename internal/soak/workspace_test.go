//go:build linux

package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// workspace is a workspace of the configuration.
type workspace struct {
	name, key   string
	rate, burst float64 // quota in requests per second, and its burst; rate 0: no quota
}

// Workspaces of the configuration, and a key that belongs to none of them.
var (
	unlimited  = &workspace{name: "w1", key: "k1"}
	limited    = &workspace{name: "w2", key: "k2", rate: 60, burst: 20}
	unknownKey = "k9"
)

// Bounds on the use of a quota across all instances.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// resource returns the workspace as a resource of the configuration.
func (w *workspace) resource() string {
	return fmt.Sprintf(`{"resource_kind":"tenants","metadata":{"name":%q},"spec":{"api_keys":[%q],"rate_per_s":%g,"burst":%g}}`,
		w.name, w.key, w.rate, w.burst)
}

// workspaceChecker records the workspace of each request, and checks authentication and quotas.
type workspaceChecker struct {
	journal *journal

	mu        sync.Mutex
	byRequest map[string]*workspace // by request, nil for an unknown key; guarded by mu
	recent    []time.Time           // executions for the limited workspace within quotaWindow; guarded by mu
}

func newWorkspaceChecker(j *journal) *workspaceChecker {
	return &workspaceChecker{journal: j, byRequest: make(map[string]*workspace)}
}

// recordSent records the workspace of a request before it is sent.
func (c *workspaceChecker) recordSent(id string, w *workspace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byRequest[id] = w
}

// checkExecution checks a request that a target starts.
func (c *workspaceChecker) checkExecution(id string, h http.Header, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.byRequest[id]
	switch {
	case w == nil:
		c.addViolation("%s executed with an unknown key", id)
	case h.Get("Tenant") != w.name:
		c.addViolation("%s executed for workspace %q, want %q", id, h.Get("Tenant"), w.name)
	case h.Get("Authorization") != "":
		c.addViolation("key of %s forwarded to a target", id)
	case w == limited:
		c.checkQuota(now)
	}
}

// checkQuota checks that the limited workspace stays within its quota. c.mu is held.
func (c *workspaceChecker) checkQuota(now time.Time) {
	c.recent = append(c.recent, now)
	for now.Sub(c.recent[0]) >= quotaWindow {
		c.recent = c.recent[1:]
	}
	limit := int((limited.rate*quotaWindow.Seconds()+limited.burst)*(1+quotaOverage)) + quotaSlack
	if len(c.recent) == limit+1 {
		c.addViolation("workspace %s executed %d requests in %s, want at most %d", limited.name, len(c.recent), quotaWindow, limit)
	}
}

// checkAnswer checks the status that a caller received.
func (c *workspaceChecker) checkAnswer(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.byRequest[id]
	switch {
	case status == http.StatusUnauthorized && w != nil:
		c.addViolation("%s got status 401, but its key exists", id)
	case status == http.StatusTooManyRequests && w != limited:
		c.addViolation("%s got status 429, but its workspace has no quota", id)
	}
}

func (c *workspaceChecker) addViolation(format string, args ...any) {
	c.journal.mu.Lock()
	defer c.journal.mu.Unlock()
	c.journal.addViolationLocked(format, args...)
}
