package edge

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/loads"
	"github.com/firlever/firlever/internal/logs"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/mirror"
	"github.com/firlever/firlever/internal/quota"
	"github.com/firlever/firlever/internal/reservation"
	"github.com/firlever/firlever/internal/routes"
	"github.com/firlever/firlever/internal/steer"
	"github.com/firlever/firlever/internal/tcp"
	"github.com/firlever/firlever/platform"
)

// failureLogRate bounds the log lines a second about failed requests and attempts: a node gets
// about 70 requests a second today, and each of them may fail.
const failureLogRate = 200

// changeLogRate bounds the log lines a second about targets and instances that come, change or go:
// an instance that starts learns of all of them at once.
const changeLogRate = 200

// retryLogRate bounds the log lines a second about retries: what is used of a budget changes with each.
const retryLogRate = 10

// Node is one instance.
type Node struct {
	cfg            Config
	store          *platform.Store
	mirror         *mirror.Mirror
	loads          *loads.Exchange
	runs           *loads.RunExchange
	objects        *loads.ObjectExchange
	quotas         *quota.Exchange
	registrar      *registrar
	neighbors      *neighborChecks
	resources      *resources
	pool           *http1.Pool
	partition      *partitionMonitor
	handOffs       *handOffs
	handOffServer  *http1.Server // of requests that peers hand off
	crashes        *crashTracker
	rollouts       *rolloutTracker
	server         *http1.Server
	webServers     []*http.Server // look-ups, readiness, peers and metrics
	callerListener net.Listener
	peerAddress    string // address for other instances, IP:port
	handOffAddress string // address for requests that peers hand off, IP:port
	handOffLn      net.Listener

	instances        instances
	processStart     int64                 // start of this process, in Unix nanoseconds
	hadRecord        bool                  // the store had a record of an earlier run; used by the mirror's goroutine alone
	evacuated        map[string]bool       // used by the mirror's goroutine alone
	delivery         mirror.Delivery       // the last; used by the mirror's goroutine alone
	rules            atomic.Pointer[rules] // nil before the first configuration
	bounds           atomic.Pointer[platform.Bounds]
	storeListed      atomic.Bool  // the store was read once
	redundantDropped atomic.Int64 // changes of the store that were not applied, as they say nothing new
	stopping         atomic.Bool
	acceptUntil      atomic.Pointer[time.Time] // requests that arrive later are refused, as the instance stops; nil while it runs
	successLimiter   *logs.Limiter
	failureLimiter   *logs.Limiter
	changeLimiter    *logs.Limiter
	retryLimiter     *logs.Limiter

	mu          sync.Mutex
	fleet       *steer.Fleet                    // guarded by mu
	answerSizes map[string]float64              // average bytes of an answer by route; guarded by mu
	callers     map[string]*reservation.Callers // by route, how much time callers have left; guarded by mu
	keptLogged  map[string]int                  // objects that targets keep by service, as last logged; guarded by mu

	shortServices map[string]bool // that are short of room; guarded by mu

	ctx        context.Context // ends with the node
	cancel     context.CancelFunc
	background sync.WaitGroup // goroutines that Start started
}

// New creates a node. Start starts it.
func New(cfg Config) (*Node, error) {
	cfg.Defaults()
	s := &cfg.Settings
	steering := cfg.steer()
	steering.Started = boottime.Now()
	fleet, err := steer.New(steering)
	if err != nil {
		return nil, errors.Annotate(err, "edge.New")
	}
	n := &Node{
		cfg: cfg, store: platform.NewStore(s.Store), fleet: fleet,
		evacuated: make(map[string]bool), answerSizes: make(map[string]float64), shortServices: make(map[string]bool), keptLogged: make(map[string]int), callers: make(map[string]*reservation.Callers),
		successLimiter: logs.NewLimiter(cfg.SuccessLogRate), failureLimiter: logs.NewLimiter(failureLogRate),
		changeLimiter: logs.NewLimiter(changeLogRate), retryLimiter: logs.NewLimiter(retryLogRate),
	}
	n.resources = newResources(n)
	if n.cfg.DialTargets == nil {
		n.cfg.DialTargets = tcp.NewDialer(s.IP).Limited(n.resources.dialed).DialContext
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.partition = newPartitionMonitor(n)
	n.pool = http1.NewPool(n.partition.dialTarget, n.resources.budget)
	n.handOffs = newHandOffs(n, tcp.NewDialer(s.IP).DialContext)
	n.store.OnCallDone(n.countStoreCall)
	n.store.SetBudget(n.resources.budget)
	n.processStart = time.Now().UnixNano()
	if n.quotas, err = n.newQuotas(); err != nil {
		return nil, errors.Annotate(err, "edge.New")
	}
	n.bounds.Store(&s.Bounds)
	n.peerAddress = choosePeerAddress(s)
	n.mirror = mirror.New(n.store, n, mirror.Peers{Relays: n.relays, Hops: n.relayHops, Fallbacks: n.others, Seeds: n.seeds(), FirstStart: s.FirstStart, Self: n.peerAddress, LinkMbps: s.LinkMbps, Registered: registeredExcept(n.peerAddress), Redundant: n.redundant, Budget: n.resources.budget}, compareItems)
	n.newExchanges()
	n.registrar = newRegistrar(n)
	n.neighbors = newNeighborChecks(n)
	n.crashes = newCrashTracker(n)
	n.rollouts = newRolloutTracker(n)
	n.handOffServer = http1.NewServer(n.handOffHandlers())
	n.server = http1.NewServer(http1.Handlers{Handle: n.handle, RefuseEarly: n.refuseEarly, Busy: cfg.Overload.Refuse, BusyAnswer: n.refuseOverloaded, Limits: n.limits, ErrorAnswer: n.refuseUnreadable, Budget: n.resources.budget, Port: n.resources.accepted.Port("callers"), NoMemory: n.refuseNoMemory, AcceptFailed: n.acceptFailed})
	return n, nil
}

// Start opens the listeners and serves. Ports that the settings leave open are chosen by the
// system and written into the settings.
func (n *Node) Start() error {
	s := &n.cfg.Settings
	ln, err := net.Listen("tcp", s.Callers)
	if err != nil {
		return errors.Annotate(err, "callers")
	}
	n.callerListener = ln
	s.Callers = ln.Addr().String()
	go n.server.Serve(ln)
	if err := n.listenHandOffs(); err != nil {
		return err
	}
	for _, port := range []struct {
		name    string
		address *string
		handler http.Handler
	}{
		{"look-ups", &s.Lookups, n.lookupHandler()}, {"ready", &s.Ready, n.readinessHandler()}, {"peers", &n.peerAddress, n.peerHandler()},
	} {
		if err := n.serveWeb(port.name, port.address, port.handler); err != nil {
			return err
		}
	}
	ctx := n.ctx
	n.background.Go(func() { boottime.Watch(ctx) })
	n.background.Go(func() { n.mirror.Run(ctx) })
	n.background.Go(func() { n.registrar.run(ctx) })
	n.background.Go(func() { n.neighbors.run(ctx) })
	n.background.Go(func() { n.loads.Run(ctx) })
	n.background.Go(func() { n.runs.Run(ctx) })
	n.background.Go(func() { n.objects.Run(ctx) })
	n.background.Go(func() { n.crashes.notifier.run(ctx) })
	n.background.Go(func() { n.rollouts.run(ctx) })
	n.background.Go(func() { n.updateGauges(ctx) })
	n.background.Go(func() { n.logTargetCounts(ctx) })
	return nil
}

// choosePeerAddress returns the address at which other instances reach this one: the address in the
// settings, or the first of the internal ports.
func choosePeerAddress(s *platform.Settings) string {
	if s.Peers != "" {
		return s.Peers
	}
	return net.JoinHostPort(s.IP, strconv.Itoa(s.Ports.First))
}

// chooseHandOffAddress returns the address at which other instances hand requests off: the second
// internal port, or one that the system chooses if there is none.
func chooseHandOffAddress(s *platform.Settings) string {
	port := 0
	if s.Ports.First > 0 && s.Ports.First < s.Ports.Last {
		port = s.Ports.First + 1
	}
	return net.JoinHostPort(s.IP, strconv.Itoa(port))
}

// relays returns the addresses of the peers to follow in place of the store, the preferred first.
func (n *Node) relays() []string {
	return n.instances.relays(n.cfg.Settings.Region).parents(n.relayCandidate())
}

// relayHops returns how many relays the changes of the store pass on their way to this instance.
func (n *Node) relayHops() int {
	return n.instances.relays(n.cfg.Settings.Region).hops(n.relayCandidate())
}

// relayCandidate returns this instance as it ranks among the relays of its region.
func (n *Node) relayCandidate() relayCandidate {
	s := &n.cfg.Settings
	return relayCandidate{name: s.Instance, domain: s.Domain, cores: s.Cores, peers: n.peerAddress}
}

// collectors returns the addresses of the peers that collect what the instances of the region report, the
// preferred first: those that rank before this instance.
func (n *Node) collectors() []string {
	return n.instances.relays(n.cfg.Settings.Region).collectors(n.relayCandidate())
}

// collector returns the address of the peer that collects load reports; "" if it is this instance.
func (n *Node) collector() string {
	if list := n.collectors(); len(list) > 0 {
		return list[0]
	}
	return ""
}

// seeds returns the peers to ask at the start: none if this instance is a seed, or if the settings
// name none.
func (n *Node) seeds() []string {
	seeds := n.cfg.Settings.Seeds
	if slices.Contains(seeds, n.peerAddress) {
		return nil
	}
	return seeds
}

// registeredExcept returns a function that returns the addresses of the instances whose records are
// among items, but for one.
func registeredExcept(self string) func(items []platform.Item) []string {
	return func(items []platform.Item) []string {
		var list []string
		for _, item := range items {
			if !strings.HasPrefix(item.Key, instancePrefix) {
				continue
			}
			if r, err := decodeRecord(item.Value); err == nil && r.Peers != "" && r.Peers != self {
				list = append(list, r.Peers)
			}
		}
		return list
	}
}

// others returns the peers to ask while the store is unreachable: those of the region first, then
// other instances, then the seeds, which are all that is known at the start.
func (n *Node) others() []string {
	s := &n.cfg.Settings
	list := n.instances.otherPeers(s.Region, s.Instance)
	for _, seed := range s.Seeds {
		if seed != n.peerAddress && !slices.Contains(list, seed) {
			list = append(list, seed)
		}
	}
	return list
}

// MetricsPath is the path of the metrics, in the Prometheus text format.
const MetricsPath = "/metrics"

// ServeMetrics serves the metrics on a port of the instance's own address.
func (n *Node) ServeMetrics(port int) error {
	mux := http.NewServeMux()
	mux.Handle(MetricsPath, n.cfg.Metrics.Handler())
	address := net.JoinHostPort(n.cfg.Settings.IP, strconv.Itoa(port))
	return n.serveWeb("metrics", &address, mux)
}

// PeerAddress returns the address for other instances, IP:port.
func (n *Node) PeerAddress() string { return n.peerAddress }

// peerHandler serves other instances.
func (n *Node) peerHandler() http.Handler {
	r := chi.NewRouter()
	r.Handle(mirror.RelayPath, n.mirror)
	r.Handle(loads.Path, n.loads)
	r.Handle(loads.RunsPath, n.runs)
	r.Handle(loads.ObjectsPath, n.objects)
	r.Handle(quota.Path, n.quotas)
	r.Handle(crashesPath, n.crashes)
	r.Handle(rolloutsPath, n.rollouts)
	return r
}

// serveWeb serves HTTP at an address, and writes the port that was chosen into it.
func (n *Node) serveWeb(port string, address *string, handler http.Handler) error {
	ln, err := net.Listen("tcp", *address)
	if err != nil {
		return errors.Annotate(err, "listen")
	}
	*address = ln.Addr().String()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxWebHeader}
	guard := n.resources.guard(port)
	guard.Protect(server)
	n.webServers = append(n.webServers, server)
	go server.Serve(guard.Listen(tcp.NewListener(ln, headerTimeout, idleTimeout, n.acceptFailed)))
	return nil
}

// acceptFailed logs and counts that a connection could not be accepted.
func (n *Node) acceptFailed(err error) {
	n.cfg.Metrics.CountDecision(metrics.Decision{Kind: "accept-failed"})
	if suppressed, ok := n.failureLimiter.Allow(boottime.Now()); ok {
		n.cfg.Log.Error("connection not accepted", "suppressed", suppressed, "err", err)
	}
}

// Timeouts of connections for look-ups, readiness, peers and metrics.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
)

// Ready reports whether this instance can serve: it has read the store, has a configuration, and
// is not stopping.
func (n *Node) Ready() bool {
	return n.storeListed.Load() && n.rules.Load() != nil && !n.stopping.Load()
}

// limits returns the bounds on requests from the configuration in force.
func (n *Node) limits() http1.Limits {
	var l routes.Limits
	if current := n.rules.Load(); current != nil {
		l = current.Config().Limits
	}
	l.Defaults()
	return http1.Limits{
		HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout,
	}
}

// refuseUnreadable answers a request that can't be parsed, or exceeds the limits of the configuration.
func (n *Node) refuseUnreadable(status int) *http1.Response {
	why, current := &refusal{status: status, reason: "unreadable"}, n.rules.Load()
	limited := status == http.StatusRequestEntityTooLarge || status == http.StatusRequestHeaderFieldsTooLarge
	switch {
	case limited && current == nil:
		why = refusedNoConfig
	case limited && n.mayBeBehind(current):
		why = refusedBehind
	}
	return n.refuse(&http1.Request{}, platform.Request{}, why)
}

// refuseNoMemory answers a request that doesn't fit into the memory that is left for requests.
func (n *Node) refuseNoMemory(r *http1.Request) *http1.Response {
	return n.refuse(r, platform.ReadRequest(r.Header), refusedNoMemory)
}
