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

// rules is one version of the configuration as it is in force: its routes and its keys
// hold together.
type rules struct {
	*routes.Table

	keys *auth.Keyring
}

func newRules(cfg routes.Config) *rules {
	return &rules{Table: routes.NewTable(cfg), keys: auth.NewKeyring(&cfg)}
}

// refusal is why a request is refused before a target is looked for.
type refusal struct {
	status int
	reason string
	again  time.Duration // when it is worth coming back; 0 if it is not
}

// The refusals of requests that the configuration doesn't allow, or that come to an
// instance which can't tell.
var (
	stopping   = &refusal{status: http.StatusServiceUnavailable, reason: "stopping", again: againSoonest}
	unready    = &refusal{status: http.StatusServiceUnavailable, reason: "no-config", again: againUnready}
	noRoute    = &refusal{status: http.StatusNotFound, reason: "no-route"}
	noKey      = &refusal{status: http.StatusUnauthorized, reason: "no-key"}
	unknownKey = &refusal{status: http.StatusUnauthorized, reason: "unknown-key"}
	oldKeys    = &refusal{status: http.StatusServiceUnavailable, reason: "old-keys", again: againOldKeys}
)

const (
	// againUnready is how soon an instance that has just started is worth asking
	// again: it lists the store in a few calls.
	againUnready = 300 * time.Millisecond
	// againOldKeys is how soon one is that has long heard nothing of the keys: it asks
	// the store or a peer each second.
	againOldKeys = time.Second
)

// admission is what a request may do by the configuration in force.
type admission struct {
	rules     *rules
	route     *routes.Entry
	workspace *routes.Workspace // that it is made for; nil if none
}

// admit finds the route of a request and the workspace that it is made for, or the
// refusal.
func (n *Node) admit(r *http1.Request, info platform.Request) (admission, *refusal) {
	a := admission{rules: n.rules.Load()}
	if a.rules == nil {
		return a, unready
	}
	a.route = a.rules.Match(r.Host, r.Path)
	if a.route == nil {
		return a, noRoute
	}
	if !a.rules.keys.Needed() {
		return a, nil
	}
	a.workspace = a.rules.keys.Owner(info.Key)
	switch {
	case a.route.Open:
		return a, nil
	case n.keysLapsed():
		return a, oldKeys
	case a.workspace == nil && info.Key == "":
		return a, noKey
	case a.workspace == nil:
		return a, unknownKey
	}
	return a, nil
}

// keysLapsed says whether this instance has heard nothing of the configuration for
// longer than the platform lets it trust the keys that it knows.
func (n *Node) keysLapsed() bool {
	b := n.bounds.Load()
	return b.KeysLapse && n.mirror.Age(boottime.Now()) > b.KeysFor
}

// regions is where the request may be served: as its route and its workspace allow.
func (a admission) regions() routes.Regions {
	if a.workspace == nil {
		return a.route.Regions
	}
	return a.route.Regions.And(a.workspace.Regions)
}

// name is the workspace's name; "" if there is none.
func (a admission) name() string {
	if a.workspace == nil {
		return ""
	}
	return a.workspace.Name
}

// priority is the request's rank, 0 the highest: the workspace's goes before the route's.
func (a admission) priority() int {
	if a.workspace != nil && a.workspace.Priority != nil {
		return *a.workspace.Priority
	}
	return a.route.Priority
}

// early refuses a request whose body has yet to come, if it can't be allowed anyway.
func (n *Node) early(r *http1.Request) *http1.Response {
	info := platform.ReadRequest(r.Header)
	if _, refused := n.admit(r, info); refused != nil {
		return n.refuse(r, info, refused)
	}
	return nil
}

// judgeAgain judges a request that has waited by the configuration in force now: its key
// may have been taken away or moved to another workspace, or that may have other regions.
// It says whether the request may be sent. No attempt may be under way.
func (n *Node) judgeAgain(p *passage) bool {
	now := n.rules.Load()
	if now == p.rules {
		return true
	}
	owner := now.keys.Owner(p.info.Key)
	if owner == nil && now.keys.Needed() && !p.route.Open {
		return false
	}
	p.rules, p.workspace = now, owner
	return true
}
