package edge

import (
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/auth"
	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/routes"
	"github.com/firlever/firlever/platform"
)

// rules is one version of the configuration that is in force. Its routes and its keys
// belong to the same version and are replaced together.
type rules struct {
	*routes.Table

	keys *auth.Keyring
}

func newRules(cfg routes.Config) *rules {
	return &rules{Table: routes.NewTable(cfg), keys: auth.NewKeyring(&cfg)}
}

// refusal is the reason for which a request is refused before a target is chosen.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration // 0 if a retry is of no use
}

// Refusals of requests that the configuration doesn't allow, and of requests that reach an
// instance which can't decide yet or is stopping.
var (
	refusedStopping   = &refusal{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: minRetryAfter}
	refusedNoConfig   = &refusal{status: http.StatusServiceUnavailable, reason: "no-config", retryAfter: retryAfterNoConfig}
	refusedNoMemory   = &refusal{status: http.StatusServiceUnavailable, reason: "no-memory", retryAfter: retryAfterNoMemory}
	refusedNoRoute    = &refusal{status: http.StatusNotFound, reason: "no-route"}
	refusedNoKey      = &refusal{status: http.StatusUnauthorized, reason: "no-key"}
	refusedUnknownKey = &refusal{status: http.StatusUnauthorized, reason: "unknown-key"}
	refusedBehind     = &refusal{status: http.StatusServiceUnavailable, reason: "old-config", retryAfter: retryAfterNoConfig}
	refusedStaleKeys  = &refusal{status: http.StatusServiceUnavailable, reason: "old-keys", retryAfter: retryAfterStaleKeys}
)

const (
	// retryAfterNoConfig: an instance that has just started lists the store in a few calls.
	retryAfterNoConfig = 300 * time.Millisecond
	// retryAfterNoMemory is about as long as bodies are held.
	retryAfterNoMemory = 300 * time.Millisecond
	// retryAfterStaleKeys: an instance whose keys have expired polls the store or a peer
	// every second.
	retryAfterStaleKeys = time.Second
)

// admission is the result of checking a request against the configuration in force.
type admission struct {
	rules     *rules
	route     *routes.Entry
	workspace *routes.Workspace // that sends the request; nil if none
}

// admit finds the route of a request and the workspace that sends it, or returns the
// refusal. What the configuration in force here doesn't allow may be allowed by a later one that this
// instance has not received: it then leaves the decision to another instance.
func (n *Node) admit(r *http1.Request, info platform.Request) (admission, *refusal) {
	a, refused := n.check(r, info)
	if refused != nil && refused.status < http.StatusInternalServerError && n.mayBeBehind(a.rules) {
		return a, refusedBehind
	}
	return a, refused
}

// mayBeBehind reports whether a later configuration than the one in force here may be in force
// elsewhere: a peer has answered requests of this instance by one, or the store has confirmed this
// instance's data longer ago than a configuration may take to come into force.
func (n *Node) mayBeBehind(current *rules) bool {
	within := n.bounds.Load().ConfigApply
	return n.handOffs.ahead(current.Config().Version) || within > 0 && n.mirror.Age(boottime.Now()) > within
}

// check checks a request against the configuration in force.
func (n *Node) check(r *http1.Request, info platform.Request) (admission, *refusal) {
	a := admission{rules: n.rules.Load()}
	if a.rules == nil {
		return a, refusedNoConfig
	}
	a.route = a.rules.Match(r.Host, r.Path)
	if a.route == nil {
		return a, refusedNoRoute
	}
	if !a.rules.keys.KeyRequired() {
		return a, nil
	}
	a.workspace = a.rules.keys.Owner(info.Key)
	switch {
	case a.route.Open:
		return a, nil
	case n.keysExpired():
		return a, refusedStaleKeys
	case a.workspace == nil && info.Key == "":
		return a, refusedNoKey
	case a.workspace == nil:
		return a, refusedUnknownKey
	}
	return a, nil
}

// keysExpired reports whether this instance has received no update of the configuration for
// longer than the platform allows API keys to be trusted.
func (n *Node) keysExpired() bool {
	b := n.bounds.Load()
	return b.KeysExpire && n.mirror.Age(boottime.Now()) > b.KeyLifetime
}

// regions returns the regions in which the request may be served, by its route and workspace.
func (a admission) regions() routes.Regions {
	if a.workspace == nil {
		return a.route.Regions
	}
	return a.route.Regions.Intersect(a.workspace.Regions)
}

// workspaceName returns the workspace's name; "" if there is none.
func (a admission) workspaceName() string {
	if a.workspace == nil {
		return ""
	}
	return a.workspace.Name
}

// priority returns the request's priority, 0 the highest. The workspace's overrides the route's.
func (a admission) priority() int {
	if a.workspace != nil && a.workspace.Priority != nil {
		return *a.workspace.Priority
	}
	return a.route.Priority
}

// priorities is how many priorities of workspaces, and of routes, are told apart.
const priorities = 4

// rank orders requests for a service by urgency, 0 first: by priority, and among requests of one
// priority by that of their route, as a workspace's own says nothing of its routes.
func (a admission) rank() int { return priorities*inRange(a.priority()) + inRange(a.route.Priority) }

// inRange returns a priority, the lowest one in place of those that are not told apart.
func inRange(priority int) int {
	if priority < 0 || priority >= priorities {
		return priorities - 1
	}
	return priority
}

// refuseEarly refuses a request before its body is read, if it would be refused anyway.
func (n *Node) refuseEarly(r *http1.Request) *http1.Response {
	info := platform.ReadRequest(r.Header)
	if _, refused := n.admit(r, info); refused != nil {
		return n.refuse(r, info, refused)
	}
	return nil
}

// reauthorize checks a waiting request against the configuration in force now, and reports
// whether it may still be sent: its key may have been revoked or moved to another workspace,
// or the workspace's regions may have changed. No attempt may be in flight.
func (n *Node) reauthorize(p *pendingRequest) bool {
	current := n.rules.Load()
	if current == p.rules {
		return true
	}
	owner := current.keys.Owner(p.info.Key)
	if owner == nil && current.keys.KeyRequired() && !p.route.Open {
		return false
	}
	p.rules, p.workspace = current, owner
	return true
}
