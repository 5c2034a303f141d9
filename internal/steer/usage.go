package steer

import "time"

// Names of bounds over all instances.
const (
	RetryBound = "retries"
	ColdBound  = "cold"
	LimitBound = "limits"
)

// BoundUsage is what this instance may use of a bound on requests for a service, and what it has used,
// within the window of the bound that ends now. Bounds on single targets are added up.
type BoundUsage struct {
	Bound   string
	Service string
	Share   float64 // that this instance may use
	Used    float64 // of the share
	Lost    float64 // shares of instances that count although their records are gone
}

// BoundUsages returns the usage of all bounds. Those on targets are left out for services without
// such a target.
func (f *Fleet) BoundUsages(now time.Time) []BoundUsage {
	f.expirePeers(now)
	f.updatePart(now)
	list := make([]BoundUsage, 0, len(f.services))
	for name, s := range f.services {
		u := s.budget.Usage(now)
		list = append(list, BoundUsage{
			Bound: RetryBound, Service: name, Share: u.Allowed, Used: float64(u.Retries), Lost: f.slack() * float64(len(f.expiredPeers)),
		})
		list = append(list, f.targetBoundUsages(now, name, s)...)
	}
	return list
}

// targetBoundUsages returns the usage of the bounds on the targets of a service.
func (f *Fleet) targetBoundUsages(now time.Time, name string, s *service) []BoundUsage {
	cold, limited := BoundUsage{Bound: ColdBound, Service: name}, BoundUsage{Bound: LimitBound, Service: name}
	for _, t := range s.targets {
		if t.cold(now) {
			share := float64(f.coldShare(now, t))
			cold.Share, cold.Used, cold.Lost = cold.Share+share, cold.Used+float64(t.recentColdRequests(now)), cold.Lost+share*float64(len(f.expiredPeers))
		}
		if t.constraints != nil && t.constraints.limit.active {
			f.refill(now, t)
			l := &t.constraints.limit
			limited.Share, limited.Used, limited.Lost = limited.Share+l.share.burst, limited.Used+l.share.burst-l.tokens, limited.Lost+l.share.burst*float64(len(f.expiredPeers))
		}
	}
	var list []BoundUsage
	for _, u := range []BoundUsage{cold, limited} {
		if u.Share > 0 || u.Used > 0 {
			list = append(list, u)
		}
	}
	return list
}
