//go:build linux

package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// workspace is one of the configuration.
type workspace struct {
	name, key   string
	rate, burst float64 // quota; no rate: none
}

// The workspaces, and a key that none has.
var (
	unlimited  = &workspace{name: "w1", key: "k1"}
	limited    = &workspace{name: "w2", key: "k2", rate: 60, burst: 20}
	unknownKey = "k9"
)

// Bounds of a quota over all instances.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// resource is the workspace in the configuration.
func (w *workspace) resource() string {
	return fmt.Sprintf(`{"resource_kind":"tenants","metadata":{"name":%q},"spec":{"api_keys":[%q],"rate_per_s":%g,"burst":%g}}`,
		w.name, w.key, w.rate, w.burst)
}

// workspaceChecker holds for which workspaces requests are made, and what became of them.
type workspaceChecker struct {
	journal *journal

	mu        sync.Mutex
	byRequest map[string]*workspace // by request, nil for an unknown key; guarded by mu
	recent    []time.Time           // of limited, within quotaWindow; guarded by mu
}

func newWorkspaceChecker(j *journal) *workspaceChecker {
	return &workspaceChecker{journal: j, byRequest: make(map[string]*workspace)}
}

// recordSent notes a request before it goes out.
func (c *workspaceChecker) recordSent(id string, w *workspace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byRequest[id] = w
}

// checkExecution checks a request that a target begins to work on.
func (c *workspaceChecker) checkExecution(id string, h http.Header, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.byRequest[id]
	switch {
	case w == nil:
		c.addViolation("%s runs, and nobody has its key", id)
	case h.Get("Tenant") != w.name:
		c.addViolation("%s runs for workspace %q, want %q", id, h.Get("Tenant"), w.name)
	case h.Get("Authorization") != "":
		c.addViolation("the key of %s reaches a target", id)
	case w == limited:
		c.checkQuota(now)
	}
}

// checkQuota checks that the limited workspace keeps within its quota. a.mu is held.
func (c *workspaceChecker) checkQuota(now time.Time) {
	c.recent = append(c.recent, now)
	for now.Sub(c.recent[0]) >= quotaWindow {
		c.recent = c.recent[1:]
	}
	limit := int((limited.rate*quotaWindow.Seconds()+limited.burst)*(1+quotaOverage)) + quotaSlack
	if len(c.recent) == limit+1 {
		c.addViolation("workspace %s runs %d requests in %s, want %d at most", limited.name, len(c.recent), quotaWindow, limit)
	}
}

// checkAnswer checks what a caller got.
func (c *workspaceChecker) checkAnswer(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.byRequest[id]
	switch {
	case status == http.StatusUnauthorized && w != nil:
		c.addViolation("%s gets 401, though its key is there", id)
	case status == http.StatusTooManyRequests && w != limited:
		c.addViolation("%s gets 429, and its workspace has no quota", id)
	}
}

func (c *workspaceChecker) addViolation(format string, args ...any) {
	c.journal.mu.Lock()
	defer c.journal.mu.Unlock()
	c.journal.addViolationLocked(format, args...)
}
