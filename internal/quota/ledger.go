package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Ledger holds this instance's tokens of all workspaces.
type Ledger struct {
	cfg      Config
	fillFrom time.Time            // buckets fill from then on; zero until it is known
	members  []Member             // this instance and the others that run or did so within holderExpiry, by name
	expiry   map[string]time.Time // members whose records were removed: they count until then
	quotas   map[string]*quota    // by workspace; only those that have a limit
}

// Want is what an instance requests from another one.
type Want struct {
	Tokens int
	Rate   float64 // tokens per second, for rateLoanDuration; 0 if single tokens suffice
}

// Grant is what an instance gives to another one.
type Grant struct {
	Tokens     int
	Rate       float64       // tokens per second, for rateLoanDuration
	MaxStock   float64       // capacity that goes with the rate, in tokens
	RetryAfter time.Duration // until it has more; set if it gave less than was requested
}

const (
	// partialBackoff is the longest time for which a holder that gave less than was requested is
	// not asked again, and emptyBackoff the time for one that gave nothing. Without the latter,
	// with 60 holders and a workspace whose callers are all in one failure domain, the holders of
	// that domain are asked first, and would be asked again before any other.
	partialBackoff = 200 * time.Millisecond
	emptyBackoff   = time.Second
)

// New returns a ledger without other instances. It returns a *ConfigError.
func New(cfg Config) (*Ledger, error) {
	cfg.Bounds.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, errors.Annotate(err, "quota.New")
	}
	return &Ledger{cfg: cfg, expiry: make(map[string]time.Time), quotas: make(map[string]*quota)}, nil
}

// StartFilling starts filling the buckets. Those of a newcomer fill later, when all others know of it; an
// instance that ran before under its name was known all the while.
func (l *Ledger) StartFilling(now time.Time, newcomer bool) {
	if !l.fillFrom.IsZero() {
		return
	}
	l.fillFrom = now
	if newcomer {
		l.fillFrom = now.Add(newcomerDelay)
	}
}

// SetBounds sets new bounds. If they are invalid, it returns a *ConfigError and changes nothing.
func (l *Ledger) SetBounds(b Bounds) error {
	b.Defaults()
	cfg := l.cfg
	cfg.Bounds = b
	if err := cfg.Validate(); err != nil {
		return err
	}
	if l.cfg != cfg {
		l.cfg = cfg
		l.invalidateShares()
	}
	return nil
}

// SetMembers sets the instances whose records exist, including this one. Others that were known still
// count for holderExpiry.
func (l *Ledger) SetMembers(now time.Time, running []Member) {
	next := make(map[string]Member, len(running))
	for _, m := range running {
		next[m.Name] = m
		delete(l.expiry, m.Name)
	}
	for _, m := range l.members {
		if _, runs := next[m.Name]; runs {
			continue
		}
		if _, gone := l.expiry[m.Name]; !gone {
			l.expiry[m.Name] = now.Add(holderExpiry)
		}
		next[m.Name] = m
	}
	l.setMembers(slices.Collect(maps.Values(next)))
	l.dropExpired(now)
}

// dropExpired removes the instances whose records were removed holderExpiry ago.
func (l *Ledger) dropExpired(now time.Time) {
	expired := make(map[string]bool)
	for name, until := range l.expiry {
		if !now.Before(until) {
			expired[name] = true
			delete(l.expiry, name)
		}
	}
	if len(expired) > 0 {
		l.setMembers(slices.DeleteFunc(slices.Clone(l.members), func(m Member) bool { return expired[m.Name] }))
	}
}

// setMembers sets the members among which the quotas are divided.
func (l *Ledger) setMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	if !slices.Equal(members, l.members) {
		l.members = members
		l.invalidateShares()
	}
}

// invalidateShares marks all quotas to be divided anew.
func (l *Ledger) invalidateShares() {
	for _, q := range l.quotas {
		q.divided = false
	}
}

// SetLimits sets the limits of all workspaces that have one.
func (l *Ledger) SetLimits(limits map[string]Limit) {
	for name := range l.quotas {
		if _, limited := limits[name]; !limited {
			delete(l.quotas, name)
		}
	}
	for name, limit := range limits {
		q, known := l.quotas[name]
		if !known {
			q = &quota{avoidUntil: make(map[string]time.Time)}
			l.quotas[name] = q
		}
		if q.limit != limit {
			q.limit, q.divided = limit, false
		}
	}
}

// Decision is the result of a request for a token.
type Decision struct {
	Allowed    bool
	Limited    bool          // the workspace has a limit
	TokensLeft float64       // tokens left at this instance
	Rate       float64       // tokens per second at this instance
	Demand     float64       // requests per second of the workspace at this instance
	Holders    []Member      // holders that may have tokens, in the order in which to ask them; empty if none is worth asking now
	Want       Want          // what to request from them
	RetryAfter time.Duration // time after which to retry; set if not allowed
}

// Take takes a token for a request of a workspace, if there is one at this instance.
func (l *Ledger) Take(now time.Time, workspace string) Decision {
	q, limited := l.quotas[workspace]
	if !limited {
		return Decision{Allowed: true}
	}
	q.countRequest(now)
	d := l.take(now, workspace, q)
	if !d.Allowed {
		d.Holders, d.Want = q.holdersToAsk(now), q.want(now)
	}
	return d
}

// Retry takes a token after others were asked for some, without counting the request again. A
// request that gets none is refused.
func (l *Ledger) Retry(now time.Time, workspace string) Decision {
	q, limited := l.quotas[workspace]
	if !limited {
		return Decision{Allowed: true}
	}
	d := l.take(now, workspace, q)
	if !d.Allowed {
		d.RetryAfter = q.retryAfter(now)
	}
	return d
}

func (l *Ledger) take(now time.Time, workspace string, q *quota) Decision {
	l.fill(now, workspace, q)
	allowed := q.take(now)
	return Decision{Allowed: allowed, Limited: true, TokensLeft: q.tokensLeft(now), Rate: q.available(now).rate, Demand: q.demand}
}

// Give gives tokens to another instance, and lends it a part of this one's share that its own
// callers don't need.
func (l *Ledger) Give(now time.Time, workspace string, want Want) Grant {
	q, limited := l.quotas[workspace]
	if !limited {
		return Grant{RetryAfter: partialBackoff}
	}
	l.fill(now, workspace, q)
	q.decayDemand(now)
	g := Grant{Tokens: q.give(want.Tokens)}
	if !now.Before(l.fillFrom) && !l.fillFrom.IsZero() {
		part := q.lend(now, min(want.Rate, q.available(now).rate-headroom*q.demand))
		g.Rate, g.MaxStock = part.rate, part.maxStock
	}
	if g.Tokens < want.Tokens {
		g.RetryAfter = q.untilNextToken(now)
	}
	return g
}

// Receive adds what another instance gave in answer to a request that was sent at asked. Expired
// tokens and loans are dropped.
func (l *Ledger) Receive(now, asked time.Time, workspace string, from Member, want Want, g Grant) {
	q, limited := l.quotas[workspace]
	if !limited {
		return
	}
	l.fill(now, workspace, q)
	switch {
	case g.Tokens == 0 && g.Rate == 0:
		q.avoidUntil[from.Name] = now.Add(emptyBackoff)
	case g.Tokens < want.Tokens:
		q.avoidUntil[from.Name] = now.Add(min(max(g.RetryAfter, minRetryAfter), partialBackoff))
	}
	if until := asked.Add(tokenLifetime); g.Tokens > 0 && now.Before(until) {
		q.borrowedTokens = append(q.borrowedTokens, tokenBatch{count: g.Tokens, until: until})
	}
	if until := asked.Add(rateLoanDuration); g.Rate > 0 && now.Before(until) {
		q.borrowed = append(q.borrowed, loan{share: share{rate: g.Rate, maxStock: g.MaxStock}, until: until})
	}
}

// Return returns the token of a request that was refused and never ran.
func (l *Ledger) Return(now time.Time, workspace string) {
	if q, limited := l.quotas[workspace]; limited {
		q.stock = min(q.available(now).maxStock, q.stock+1)
	}
}

// Usage is what this instance may spend of all quotas, in tokens per second.
type Usage struct {
	Share float64 // its shares of the rates
	Used  float64 // requests of the workspaces' callers
	Lent  float64 // of its shares, to other instances
	Lost  float64 // shares of the rates of instances that count although their records are gone
}

// Usage returns what is used of the quotas that this instance has divided since the last change of
// members.
func (l *Ledger) Usage(now time.Time) Usage {
	var u Usage
	for _, q := range l.quotas {
		if !q.divided {
			continue
		}
		q.decayDemand(now)
		u.Share += q.share.rate
		u.Used += q.demand
		for _, lent := range q.lent {
			if now.Before(lent.until) {
				u.Lent += lent.rate
			}
		}
		u.Lost += l.lostRate(q)
	}
	return u
}

// lostRate returns the part of a quota's rate that holders have whose records are gone.
func (l *Ledger) lostRate(q *quota) float64 {
	if len(l.expiry) == 0 {
		return 0
	}
	rate, _ := l.cfg.budget(q.limit)
	gone, sizes := 0.0, 0.0
	for _, m := range q.holders {
		sizes += m.Size
		if _, expired := l.expiry[m.Name]; expired {
			gone += m.Size
		}
	}
	if sizes == 0 {
		return 0
	}
	return (rate - q.share.rate) * gone / sizes
}

// fill brings the quota's share and stock up to date.
func (l *Ledger) fill(now time.Time, workspace string, q *quota) {
	l.dropExpired(now)
	if !q.divided {
		l.assignShare(workspace, q)
	}
	if !l.fillFrom.IsZero() {
		q.bucket.fill(l.fillFrom, now)
	}
}

// assignShare determines the holders of a quota and this instance's share.
func (l *Ledger) assignShare(workspace string, q *quota) {
	q.divided = true
	rate, stock := l.cfg.budget(q.limit)
	chosen, sizes := chooseHolders(l.members, workspace, stock)
	q.share, q.holders = share{}, nil
	for _, m := range chosen {
		if m.Name == l.cfg.Self {
			q.share = share{rate: rate * m.Size / sizes, maxStock: stock * m.Size / sizes}
		} else {
			q.holders = append(q.holders, m)
		}
	}
	// Among holders at the same distance, each instance starts with a different one.
	order := func(m Member) uint64 { return xxhash.Sum64String(l.cfg.Self + " " + workspace + " " + m.Name) }
	slices.SortFunc(q.holders, func(a, b Member) int {
		return cmp.Or(cmp.Compare(l.distance(a), l.distance(b)), cmp.Compare(order(a), order(b)))
	})
	q.pruneAvoided()
}

// distance returns 0 for a member of the same failure domain, 1 for one of the same region, and 2
// for others.
func (l *Ledger) distance(m Member) int {
	switch {
	case m.Domain == l.cfg.Domain:
		return 0
	case m.Region == l.cfg.Region:
		return 1
	}
	return 2
}
