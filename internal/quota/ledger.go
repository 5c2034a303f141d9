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
	cfg     Config
	begin   time.Time            // buckets fill from then on; zero until it is known
	members []Member             // this instance and those that it knows or knew not long ago, by name
	lapsed  map[string]time.Time // members whose records are gone: they count until then
	quotas  map[string]*quota    // by workspace; those that have a limit
}

// Want is what an instance asks another one for.
type Want struct {
	Tokens int
	Rate   float64 // tokens a second, for rateTime; 0 if single tokens do
}

// Grant is what an instance gives to another one.
type Grant struct {
	Tokens int
	Rate   float64       // tokens a second, for rateTime
	Most   float64       // tokens that may be kept of that rate
	Again  time.Duration // until it has more; if it gave less than was wanted
}

const (
	// partPause is how long a holder that gave less than was wanted is not asked again, at
	// most, and emptyPause one that gave nothing: with 60 holders and a workspace whose
	// callers are all in one failure domain, those of that domain are asked first, and
	// would be asked again before any other.
	partPause  = 200 * time.Millisecond
	emptyPause = time.Second
)

// New makes a ledger that knows no other instance. It returns a *ConfigError.
func New(cfg Config) (*Ledger, error) {
	cfg.Bounds.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, errors.Annotate(err, "quota.New")
	}
	return &Ledger{cfg: cfg, lapsed: make(map[string]time.Time), quotas: make(map[string]*quota)}, nil
}

// Begin lets the buckets fill. A newcomer's do so later, when all have heard of it; one
// that ran before under its name was known all the while.
func (l *Ledger) Begin(now time.Time, newcomer bool) {
	if !l.begin.IsZero() {
		return
	}
	l.begin = now
	if newcomer {
		l.begin = now.Add(settleTime)
	}
}

// Bound takes new bounds. It returns a *ConfigError, and then changes nothing.
func (l *Ledger) Bound(b Bounds) error {
	b.Defaults()
	cfg := l.cfg
	cfg.Bounds = b
	if err := cfg.Validate(); err != nil {
		return err
	}
	if l.cfg != cfg {
		l.cfg = cfg
		l.divide()
	}
	return nil
}

// Peers takes all instances whose records are there, this one among them. Others that
// were known count on for lapseTime.
func (l *Ledger) Peers(now time.Time, running []Member) {
	next := make(map[string]Member, len(running))
	for _, m := range running {
		next[m.Name] = m
		delete(l.lapsed, m.Name)
	}
	for _, m := range l.members {
		if _, runs := next[m.Name]; runs {
			continue
		}
		if _, gone := l.lapsed[m.Name]; !gone {
			l.lapsed[m.Name] = now.Add(lapseTime)
		}
		next[m.Name] = m
	}
	l.count(slices.Collect(maps.Values(next)))
	l.forget(now)
}

// forget leaves out the instances that have been gone for lapseTime.
func (l *Ledger) forget(now time.Time) {
	over := make(map[string]bool)
	for name, until := range l.lapsed {
		if !now.Before(until) {
			over[name] = true
			delete(l.lapsed, name)
		}
	}
	if len(over) > 0 {
		l.count(slices.DeleteFunc(slices.Clone(l.members), func(m Member) bool { return over[m.Name] }))
	}
}

// count sets among whom the quotas are divided.
func (l *Ledger) count(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	if !slices.Equal(members, l.members) {
		l.members = members
		l.divide()
	}
}

// divide has all quotas divided anew.
func (l *Ledger) divide() {
	for _, q := range l.quotas {
		q.divided = false
	}
}

// Limit takes the limits of all workspaces that have one.
func (l *Ledger) Limit(limits map[string]Limit) {
	for name := range l.quotas {
		if _, limited := limits[name]; !limited {
			delete(l.quotas, name)
		}
	}
	for name, limit := range limits {
		q, known := l.quotas[name]
		if !known {
			q = &quota{avoided: make(map[string]time.Time)}
			l.quotas[name] = q
		}
		if q.limit != limit {
			q.limit, q.divided = limit, false
		}
	}
}

// Decision is what became of a request's question for a token.
type Decision struct {
	Allowed bool
	Limited bool          // the workspace has a limit
	Left    float64       // tokens that are left here
	Rate    float64       // tokens a second that come in here
	Demand  float64       // requests a second of the workspace here
	Ask     []Member      // who may have tokens, to be asked in this order; none if nobody is worth it now
	Want    Want          // of those that are asked
	Again   time.Duration // when it is worth coming back; set if not allowed
}

// Take takes a token for a request of a workspace, if there is one here.
func (l *Ledger) Take(now time.Time, workspace string) Decision {
	q, limited := l.quotas[workspace]
	if !limited {
		return Decision{Allowed: true}
	}
	q.count(now)
	d := l.take(now, workspace, q)
	if !d.Allowed {
		d.Ask, d.Want = q.worthAsking(now), q.wants(now)
	}
	return d
}

// Retry takes a token after others were asked for some, without counting the request
// again. A request that gets none is refused.
func (l *Ledger) Retry(now time.Time, workspace string) Decision {
	q, limited := l.quotas[workspace]
	if !limited {
		return Decision{Allowed: true}
	}
	d := l.take(now, workspace, q)
	if !d.Allowed {
		d.Again = q.again(now)
	}
	return d
}

func (l *Ledger) take(now time.Time, workspace string, q *quota) Decision {
	l.fill(now, workspace, q)
	allowed := q.take(now)
	return Decision{Allowed: allowed, Limited: true, Left: q.left(now), Rate: q.now(now).rate, Demand: q.demand}
}

// Give gives tokens to another instance, and lends it a part of this one's share that its
// own callers don't need.
func (l *Ledger) Give(now time.Time, workspace string, want Want) Grant {
	q, limited := l.quotas[workspace]
	if !limited {
		return Grant{Again: partPause}
	}
	l.fill(now, workspace, q)
	q.fade(now)
	g := Grant{Tokens: q.give(want.Tokens)}
	if !now.Before(l.begin) && !l.begin.IsZero() {
		part := q.lend(now, min(want.Rate, q.now(now).rate-headroom*q.demand))
		g.Rate, g.Most = part.rate, part.most
	}
	if g.Tokens < want.Tokens {
		g.Again = q.next(now)
	}
	return g
}

// Receive takes what another instance gave that was asked at a time. What comes too late
// is lost.
func (l *Ledger) Receive(now, asked time.Time, workspace string, from Member, want Want, g Grant) {
	q, limited := l.quotas[workspace]
	if !limited {
		return
	}
	l.fill(now, workspace, q)
	switch {
	case g.Tokens == 0 && g.Rate == 0:
		q.avoided[from.Name] = now.Add(emptyPause)
	case g.Tokens < want.Tokens:
		q.avoided[from.Name] = now.Add(min(max(g.Again, againLeast), partPause))
	}
	if until := asked.Add(loanTime); g.Tokens > 0 && now.Before(until) {
		q.tokens = append(q.tokens, batch{count: g.Tokens, until: until})
	}
	if until := asked.Add(rateTime); g.Rate > 0 && now.Before(until) {
		q.rates = append(q.rates, loan{share: share{rate: g.Rate, most: g.Most}, until: until})
	}
}

// Return gives back the token of a request that was refused and never ran.
func (l *Ledger) Return(now time.Time, workspace string) {
	if q, limited := l.quotas[workspace]; limited {
		q.stock = min(q.now(now).most, q.stock+1)
	}
}

// fill lets tokens come in.
func (l *Ledger) fill(now time.Time, workspace string, q *quota) {
	l.forget(now)
	if !q.divided {
		l.divideOne(workspace, q)
	}
	if !l.begin.IsZero() {
		q.bucket.fill(l.begin, now)
	}
}

// divideOne finds the holders of a quota and this instance's part.
func (l *Ledger) divideOne(workspace string, q *quota) {
	q.divided = true
	rate, stock := l.cfg.budget(q.limit)
	chosen, sizes := holders(l.members, workspace, stock)
	q.share, q.ask = share{}, nil
	for _, m := range chosen {
		if m.Name == l.cfg.Self {
			q.share = share{rate: rate * m.Size / sizes, most: stock * m.Size / sizes}
		} else {
			q.ask = append(q.ask, m)
		}
	}
	// Of those that are equally near, each instance asks another one first.
	order := func(m Member) uint64 { return xxhash.Sum64String(l.cfg.Self + " " + workspace + " " + m.Name) }
	slices.SortFunc(q.ask, func(a, b Member) int {
		return cmp.Or(cmp.Compare(l.distance(a), l.distance(b)), cmp.Compare(order(a), order(b)))
	})
	q.forget()
}

// distance is how far a member is: in the own failure domain, region, or another.
func (l *Ledger) distance(m Member) int {
	switch {
	case m.Domain == l.cfg.Domain:
		return 0
	case m.Region == l.cfg.Region:
		return 1
	}
	return 2
}
