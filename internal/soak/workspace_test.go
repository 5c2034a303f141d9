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
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
)

// resource is the workspace in the configuration.
func (w *workspace) resource() string {
	return fmt.Sprintf(`{"resource_kind":"tenants","metadata":{"name":%q},"spec":{"api_keys":[%q],"rate_per_s":%g,"burst":%g}}`,
		w.name, w.key, w.rate, w.burst)
}

// accounts holds for which workspaces requests are made, and what became of them.
type accounts struct {
	journal *journal

	mu   sync.Mutex
	of   map[string]*workspace // by request, nil for an unknown key; guarded by mu
	runs []time.Time           // of limited, within quotaWindow; guarded by mu
}

func newAccounts(j *journal) *accounts {
	return &accounts{journal: j, of: make(map[string]*workspace)}
}

// sent notes a request before it goes out.
func (a *accounts) sent(id string, w *workspace) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.of[id] = w
}

// ran checks a request that a target begins to work on.
func (a *accounts) ran(id string, h http.Header, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.of[id]
	switch {
	case w == nil:
		a.fault("%s runs, and nobody has its key", id)
	case h.Get("Tenant") != w.name:
		a.fault("%s runs for workspace %q, want %q", id, h.Get("Tenant"), w.name)
	case h.Get("Authorization") != "":
		a.fault("the key of %s reaches a target", id)
	case w == limited:
		a.count(now)
	}
}

// count checks that the limited workspace keeps within its quota. a.mu is held.
func (a *accounts) count(now time.Time) {
	a.runs = append(a.runs, now)
	for now.Sub(a.runs[0]) >= quotaWindow {
		a.runs = a.runs[1:]
	}
	most := int((limited.rate*quotaWindow.Seconds()+limited.burst)*(1+quotaOver)) + quotaSlack
	if len(a.runs) == most+1 {
		a.fault("workspace %s runs %d requests in %s, want %d at most", limited.name, len(a.runs), quotaWindow, most)
	}
}

// answered checks what a caller got.
func (a *accounts) answered(id string, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.of[id]
	switch {
	case status == http.StatusUnauthorized && w != nil:
		a.fault("%s gets 401, though its key is there", id)
	case status == http.StatusTooManyRequests && w != limited:
		a.fault("%s gets 429, and its workspace has no quota", id)
	}
}

func (a *accounts) fault(format string, args ...any) {
	a.journal.mu.Lock()
	defer a.journal.mu.Unlock()
	a.journal.fault(format, args...)
}
