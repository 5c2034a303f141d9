package edge

import (
	"context"
	"net/http"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/quota"
	"github.com/firlever/firlever/internal/routes"
	"github.com/firlever/firlever/platform"
)

// newQuotas creates this instance's part of the workspaces' quotas.
func (n *Node) newQuotas() (*quota.Exchange, error) {
	s := &n.cfg.Settings
	ledger, err := quota.New(quota.Config{Self: s.Instance, Domain: s.Domain, Region: s.Region, Bounds: quotaBounds(s.Bounds)})
	if err != nil {
		return nil, err
	}
	return quota.NewExchange(ledger, s.IP, n.tokenRequestFailed), nil
}

func quotaBounds(b platform.Bounds) quota.Bounds {
	return quota.Bounds{Window: b.QuotaWindow, OverRatio: b.QuotaOver, Slack: b.QuotaSlack}
}

// quotaLimits returns the quotas of a configuration's workspaces; those without one are left out.
func quotaLimits(cfg *routes.Config) map[string]quota.Limit {
	limits := make(map[string]quota.Limit)
	for _, w := range cfg.Workspaces {
		if w.Rate > 0 {
			limits[w.Name] = quota.Limit{Rate: w.Rate, Burst: w.Burst}
		}
	}
	return limits
}

// takeToken takes a token from the quota of a request's workspace. If there is none, it returns
// the answer that refuses the request.
func (n *Node) takeToken(ctx context.Context, a admission, r *http1.Request, info platform.Request) *http1.Response {
	if a.workspace == nil || a.workspace.Rate <= 0 {
		return nil
	}
	d := n.quotas.Take(ctx, a.workspace.Name)
	n.cfg.Metrics.CountQuotaRequest(a.workspace.Name, d.Allowed)
	if d.Allowed {
		return nil
	}
	resp := ownAnswer(info, http.StatusTooManyRequests)
	platform.SetRetryAfter(resp.Header, d.RetryAfter)
	n.logOverQuota(r, info, a, d)
	return resp
}

// logOverQuota counts and logs a request that was refused for lack of a token.
func (n *Node) logOverQuota(r *http1.Request, info platform.Request, a admission, d quota.Decision) {
	now := boottime.Now()
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: statusKind(http.StatusTooManyRequests), Reason: "over-quota"})
	suppressed, ok := n.failureLimiter.Allow(now)
	if !ok {
		return
	}
	askedMembers := make([]string, 0, len(d.Holders))
	for _, m := range d.Holders {
		askedMembers = append(askedMembers, m.Name)
	}
	n.cfg.Log.Warn("request", "id", info.ID, "route", a.route.Name, "workspace", a.workspaceName(), "status", http.StatusTooManyRequests,
		"reason", "over-quota", "tokens", d.TokensLeft, "rate", d.Rate, "demand", d.Demand, "asked", askedMembers, "wanted", d.Want.Tokens,
		"again", d.RetryAfter, "took", now.Sub(r.ReceivedAt), "config", a.rules.Config().Version, "store-age", n.mirror.Age(now), "suppressed", suppressed)
}

// quotaMembers returns the instances among which quotas are divided, including this one.
func (n *Node) quotaMembers() []quota.Member {
	s := &n.cfg.Settings
	self := record{Peers: n.peerAddress, Domain: s.Domain, Region: s.Region, Cores: s.Cores, Link: s.LinkMbps}
	return n.instances.members(s.Instance, self)
}

// tokenRequestFailed counts and logs a failed request for another instance's tokens.
func (n *Node) tokenRequestFailed(err error) {
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "tokens", Reason: "failed"})
	if suppressed, ok := n.failureLimiter.Allow(boottime.Now()); ok {
		n.cfg.Log.Warn("tokens not asked for", "suppressed", suppressed, "err", err)
	}
}
