package rollout

import "time"

// Report is what a member tells of a rollout to the instance that collects. Its counts are totals
// since the order, so a lost report does no harm.
type Report struct {
	Member      string  `json:"member"`
	Run         int64   `json:"run"` // distinguishes the member's processes
	Order       string  `json:"order"`
	Settled     bool    `json:"settled"` // it sends nothing to the old version any more
	OldInFlight int     `json:"inflight"`
	Counts      []Count `json:"counts"`
}

// Summary is the sum of the reports of the members of a region.
type Summary struct {
	Order       string  `json:"order"`
	Settled     int     `json:"settled"`
	OldInFlight int     `json:"inflight"`
	Counts      []Count `json:"counts"`
}

// Bounds on what is passed on.
const (
	// MaxCounts is the most tallies in a report or summary: those of MaxCanaries on 8 routes.
	MaxCounts = 8 * (MaxCanaries + 1)
	// MaxCanaries is the most targets of a canary. At most as many targets are compared with the
	// old version, however large a service is.
	MaxCanaries = 32
	// reportTTL is how long a member's report tells whether it is settled.
	reportTTL = 2 * time.Second
	// maxMembers bounds the members whose reports are kept.
	maxMembers = 2000
)

// memberRun identifies one process of a member.
type memberRun struct {
	member string
	run    int64
}

// received is a member's latest report.
type received struct {
	Report
	until time.Time // until then it tells whether the member is settled
}

// Members keeps the reports of a region's members on one order.
type Members struct {
	reports map[memberRun]received // counts of processes that ended stay; maxMembers at most
}

// NewMembers returns an empty Members.
func NewMembers() *Members { return &Members{reports: make(map[memberRun]received)} }

// Put stores a member's report. It returns false if there are too many members.
func (m *Members) Put(now time.Time, r Report) bool {
	key := memberRun{r.Member, r.Run}
	if _, known := m.reports[key]; !known && len(m.reports) >= maxMembers {
		return false
	}
	m.reports[key] = received{Report: r, until: now.Add(reportTTL)}
	return true
}

// Summary returns the sum of the reports on an order.
func (m *Members) Summary(now time.Time, order string) Summary {
	s := Summary{Order: order}
	counts := make(Counts)
	for _, r := range m.reports {
		if r.Order != order {
			continue
		}
		counts.Add(r.Counts)
		if now.Before(r.until) {
			s.OldInFlight += r.OldInFlight
			if r.Settled {
				s.Settled++
			}
		}
	}
	s.Counts = counts.List(MaxCounts)
	return s
}

// Heard reports whether a member other than self has reported lately.
func (m *Members) Heard(now time.Time, self string) bool {
	for key, r := range m.reports {
		if key.member != self && now.Before(r.until) {
			return true
		}
	}
	return false
}
