package edge

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/rollout"
	"github.com/firlever/firlever/platform"
)

// rolloutsPath is where an instance receives what others have counted.
const rolloutsPath = "/rollouts"

const (
	// rolloutInterval is how often counts are exchanged while a rollout is under way.
	rolloutInterval = 500 * time.Millisecond
	// rolloutTimeout bounds one call to a collector: some round trips between regions.
	rolloutTimeout = 400 * time.Millisecond
	// permitTTL is how long canaries get requests after their bad answers were last passed on. An
	// instance whose counts nobody gets sends canaries nothing.
	permitTTL = 2 * time.Second
	// avoidCollector is how long a collector that gave no permit is not asked again.
	avoidCollector = 2 * time.Second
	// refusalTTL is how long a collector may give no permit before the next one is told.
	refusalTTL = 1500 * time.Millisecond
	// maxRolloutMessage bounds a message in bytes: rollout.MaxCounts tallies.
	maxRolloutMessage = 64 << 10
)

// rolloutMessage is what an instance sends to the collector of its region.
type rolloutMessage struct {
	Service string         `json:"service"`
	Report  rollout.Report `json:"report"`
}

// rolloutAnswer is the answer to a rolloutMessage.
type rolloutAnswer struct {
	Permit bool `json:"permit"` // the counts get to all regions, so canaries may get requests
}

func decodeSummary(value []byte) (rollout.Summary, error) {
	var s rollout.Summary
	return s, errors.Annotate(json.Unmarshal(value, &s), "rollout counts")
}

// run exchanges counts and decides about rollouts until ctx ends. It sleeps while there is none.
func (t *rolloutTracker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
			t.runActive(ctx)
		}
	}
}

// runActive exchanges and decides until no rollout is under way.
func (t *rolloutTracker) runActive(ctx context.Context) {
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for services := t.unfinished(); len(services) > 0; services = t.unfinished() {
		for _, service := range services {
			t.step(ctx, service)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// unfinished returns the services whose rollouts are under way or whose status the store lacks.
func (t *rolloutTracker) unfinished() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var services []string
	for service, r := range t.byService {
		if !r.status.Phase.Final() || r.needsWrite() {
			services = append(services, service)
		}
	}
	return services
}

// needsWrite reports whether the store lacks the status.
func (r *serviceRollout) needsWrite() bool {
	return r.stored.Order != r.status.Order || r.stored.Phase != r.status.Phase
}

// step passes on what this instance has counted, and collects and decides if it is its turn.
func (t *rolloutTracker) step(ctx context.Context, service string) {
	now := boottime.Now()
	report, collectors := t.report(now, service)
	if t.isFinal(service) {
		if len(t.node.collectors()) < maxCollectors {
			t.decide(ctx, service)
		}
		return
	}
	for _, address := range collectors {
		if address == "" {
			t.collect(ctx, service, report)
			return
		}
		permit, err := t.send(ctx, address, service, report)
		if permit {
			t.permit(now, service)
		}
		if !t.avoids(address, service, permit, err) {
			break
		}
	}
	if t.heard(now, service) {
		t.collect(ctx, service, report)
	}
}

// isFinal reports whether only the status of a rollout remains to be written.
func (t *rolloutTracker) isFinal(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byService[service].status.Phase.Final()
}

// report returns what this instance has to tell about a rollout, and the addresses of the
// collectors to tell it to, the preferred first; "" stands for this instance.
func (t *rolloutTracker) report(now time.Time, service string) (rollout.Report, []string) {
	n := t.node
	n.mu.Lock()
	versions := n.fleet.VersionCounts(now, service)
	settled := n.fleet.RampDone(now, service)
	n.mu.Unlock()
	before := n.collectors()
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byService[service]
	var collectors []string
	for _, address := range before {
		if !now.Before(r.avoid[address]) {
			collectors = append(collectors, address)
		}
	}
	if len(before) < maxCollectors {
		collectors = append(collectors, "")
	}
	return rollout.Report{
		Member: n.cfg.Settings.Instance, Run: n.processStart, Order: r.order.ID,
		Settled: settled, OldInFlight: versions.OldInFlight, Counts: r.counts.List(rollout.MaxCounts),
	}, collectors
}

// send sends a report to a collector. It returns whether canaries may get requests.
func (t *rolloutTracker) send(ctx context.Context, address, service string, report rollout.Report) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	body, err := json.Marshal(rolloutMessage{Service: service, Report: report})
	if err != nil {
		return false, errors.Trace(err)
	}
	if body, err = t.client.Post(ctx, address, rolloutsPath, nil, body); err != nil {
		return false, err
	}
	var answer rolloutAnswer
	err = json.Unmarshal(body, &answer)
	return answer.Permit, errors.Trace(err)
}

// avoids records how a collector answered, and reports whether the next one is to be told: if it
// gave no answer, or no permit for refusalTTL. A collector that has just begun to collect gives none.
func (t *rolloutTracker) avoids(address, service string, permit bool, err error) bool {
	now := boottime.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byService[service]
	if r == nil {
		return false
	}
	if permit {
		delete(r.refusedSince, address)
		return false
	}
	reason := "no-permit"
	if err != nil {
		reason = "collector-failed"
	}
	t.node.cfg.Metrics.CountDecision(metrics.Decision{Kind: "rollout-report", Service: service, Reason: reason})
	since, refused := r.refusedSince[address]
	if !refused {
		since = now
		r.refusedSince[address] = now
	}
	if err == nil && now.Sub(since) < refusalTTL {
		return false
	}
	if suppressed, ok := t.node.failureLimiter.Allow(now); ok {
		t.node.cfg.Log.Warn("rollout report without permit", "service", service, "collector", address, "suppressed", suppressed, "err", err)
	}
	delete(r.refusedSince, address)
	r.avoid[address] = now.Add(avoidCollector)
	return true
}

// permit lets canaries get requests for permitTTL, if this instance would also learn of the end of
// the rollout in that time.
func (t *rolloutTracker) permit(now time.Time, service string) {
	n := t.node
	if n.mirror.Age(now) > permitTTL {
		return
	}
	t.mu.Lock()
	if r := t.byService[service]; r != nil {
		r.permitUntil = now.Add(permitTTL)
	}
	t.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.AllowCanary(service, now.Add(permitTTL))
}

// heard reports whether other instances have sent their counts lately.
func (t *rolloutTracker) heard(now time.Time, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byService[service]
	return r != nil && r.members.Heard(now, t.node.cfg.Settings.Instance)
}

// ServeHTTP receives what another instance has counted.
func (t *rolloutTracker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxRolloutMessage))
	var m rolloutMessage
	if err == nil {
		err = json.Unmarshal(b, &m)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := json.Marshal(rolloutAnswer{Permit: t.receive(boottime.Now(), m)})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(body) // an error means that the peer has disconnected
}

// receive stores a report, and returns whether its sender may send requests to canaries.
func (t *rolloutTracker) receive(now time.Time, m rolloutMessage) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byService[m.Service]
	if r == nil || len(m.Report.Counts) > rollout.MaxCounts || m.Report.Order != r.order.ID {
		return false
	}
	return r.members.Put(now, m.Report) && now.Before(r.permitUntil)
}

// collect writes what the region has counted to the store, and decides about the rollout.
func (t *rolloutTracker) collect(ctx context.Context, service string, report rollout.Report) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	now := boottime.Now()
	t.mu.Lock()
	r := t.byService[service]
	r.members.Put(now, report)
	summary := r.members.Summary(now, r.order.ID)
	region := t.node.cfg.Settings.Region
	r.regions[region] = summary
	t.mu.Unlock()
	if err := t.writeSummary(ctx, service, region, summary); err != nil {
		t.node.cfg.Metrics.CountPlatformFailure("rollouts")
		return
	}
	t.permit(now, service)
	t.decide(ctx, service)
}

func (t *rolloutTracker) writeSummary(ctx context.Context, service, region string, s rollout.Summary) error {
	value, err := json.Marshal(s)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = t.node.store.Do(ctx, platform.Txn{Put: []platform.Write{{Key: rolloutPrefix + service + "/" + region, Value: value}}})
	return err
}
