package instance

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/boottime"
	"github.com/firlever/firlever/internal/callers"
	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/dispatch"
	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/targets"
	"github.com/firlever/firlever/internal/tcp"
	"github.com/firlever/firlever/pkg/settings"
)

// Timers and bounds of an instance.
const (
	tickBusy          = 10 * time.Millisecond // between clock steps while the node waits for a point in time
	tickIdle          = 50 * time.Millisecond // between clock steps otherwise
	headerTimeout     = 5 * time.Second       // for a caller to send a request's headers, from their first byte on
	idleTimeout       = 2 * time.Minute
	maxRequestHeader  = 256 << 10 // bytes, from callers and peers; headers over 32 KB get a typed refusal
	maxOperatorHeader = 32 << 10  // bytes, from operators
	queueLength       = 64        // decisions of the node that wait to be carried out
)

// Instance is one running entry instance.
type Instance struct {
	cfg              Config
	incarnation      uint64
	dispatcher       *dispatch.Dispatcher
	docs             *documents
	client           *targets.Client
	server           *callers.Server
	operators        http.Handler
	members          *gossip
	metrics          *metrics.Set // created and closed by this instance; nil if cfg supplies one
	rosterSwaps      chan core.SwapRoster
	probes           chan core.Probe
	replaced         chan struct{} // closed when a newer incarnation of this instance is observed
	replaceOnce      sync.Once
	grantRequests    chan core.AskGrant
	crashReports     chan core.SendCrashes
	divergedPeers    chan docstore.Instance // peers whose documents differ
	newerRosterPeers chan docstore.Instance // peers of the place with a newer roster version
	restoration      *restoration
	rpc              *http.Client // client for control calls to peers
	resources        *resources

	listeners []net.Listener // for callers, peers and operators, in this order
	servers   []*http.Server // one per listener
	cancel    context.CancelFunc
	loops     sync.WaitGroup
}

// New returns an instance with its sockets open. It serves nothing before Start. It returns
// a *ConfigError if cfg is invalid.
func New(cfg Config) (*Instance, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	in := &Instance{
		cfg:              cfg,
		incarnation:      uint64(time.Now().UnixNano()),
		rosterSwaps:      make(chan core.SwapRoster, 1),
		probes:           make(chan core.Probe, queueLength),
		grantRequests:    make(chan core.AskGrant, queueLength),
		crashReports:     make(chan core.SendCrashes, queueLength),
		divergedPeers:    make(chan docstore.Instance, 1),
		newerRosterPeers: make(chan docstore.Instance, 1),
		restoration:      newRestoration(),
		replaced:         make(chan struct{}),
	}
	in.resources = newResources(in)
	if c, ok := cfg.Store.(*docstore.Client); ok {
		c.SetBudget(in.resources.budget)
	}
	in.openClients()
	in.cfg.Store = &epochStore{Store: cfg.Store, observe: in.observeRevision}
	if err := in.listen(); err != nil {
		return nil, errors.Annotate(err, "instance.New")
	}
	if err := in.build(); err != nil {
		in.closeSockets()
		return nil, errors.Annotate(err, "instance.New")
	}
	return in, nil
}

// openClients creates the clients of targets and peers. Only the connections of the first count for the limit
// on descriptors, so that control calls have some left.
func (in *Instance) openClients() {
	dialTargets := in.cfg.Dial
	if in.cfg.Dial == nil {
		dialer := tcp.NewDialer(in.cfg.Source)
		in.cfg.Dial, dialTargets = dialer.DialContext, dialer.Limited(in.resources.dialed).DialContext
	}
	in.client = targets.New(dialTargets)
	transport := http1.NewTransport(&http.Transport{DialContext: in.cfg.Dial})
	in.rpc = &http.Client{Transport: http1.HoldDecoded(transport, in.resources.budget, controlAnswerBytes), Timeout: syncTimeout}
}

// listen opens the three TCP listeners and stores the ports that the system chose in cfg.
func (in *Instance) listen() error {
	for _, address := range []*string{&in.cfg.Callers, &in.cfg.Peers, &in.cfg.Operators} {
		ln, err := in.cfg.Listen("tcp", *address)
		if err != nil {
			in.closeSockets()
			return &ListenError{Address: *address, Err: err}
		}
		*address = ln.Addr().String()
		in.listeners = append(in.listeners, ln)
	}
	if in.cfg.AdvertiseCallers == "" {
		in.cfg.AdvertiseCallers = in.cfg.Callers
	}
	if in.cfg.AdvertisePeers == "" {
		in.cfg.AdvertisePeers = in.cfg.Peers
	}
	return nil
}

// ListenError reports that an address can't be listened on.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string {
	return "instance: listen on " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

func (in *Instance) build() error {
	cfg := core.Config{
		Instance: in.cfg.ID, Incarnation: in.incarnation,
		Place: in.cfg.Place, Domain: in.cfg.Domain, Region: in.cfg.Region,
		Policy: in.cfg.Policy, ListProves: in.cfg.ListProves, Rand: newRand(in.cfg.Seed), Checks: in.cfg.Checks,
	}
	rand.Read(cfg.Secret[:])
	rand.Read(cfg.Seed[:])
	node, err := core.New(cfg, boottime.Now())
	if err != nil {
		return err
	}
	in.dispatcher = dispatch.New(node, boottime.Now, in.control)
	in.docs = newDocuments(in.cfg.Checks, in.cfg.Log, in.applySnapshot, in.confirmSettings)
	in.server = callers.New(callers.Config{
		Instance: in.cfg.ID, CallersAddress: in.cfg.AdvertiseCallers, Checks: in.cfg.Checks, Log: in.cfg.Log,
		Metrics: in.cfg.Metrics, Overload: in.cfg.Overload,
	}, in.dispatcher, in.client)
	if in.members, err = newGossip(in); err != nil {
		return err
	}
	in.operators, err = in.operatorHandler()
	return err
}

func newRand(seed uint64) *mathrand.Rand {
	if seed == 0 {
		var b [8]byte
		rand.Read(b[:])
		seed = binary.LittleEndian.Uint64(b[:])
	}
	return mathrand.New(mathrand.NewPCG(seed, seed))
}

// control dispatches decisions of the node that are not about a single request. It is
// called with the dispatcher locked, so it only queues them.
func (in *Instance) control(d core.Decision) {
	switch d := d.(type) {
	case core.SwapRoster:
		select {
		case in.rosterSwaps <- d:
		default: // a swap is in progress; the node repeats the decision
		}
	case core.Probe:
		select {
		case in.probes <- d:
		default: // repeated in the next probe round
		}
	case core.AskGrant:
		select {
		case in.grantRequests <- d:
		default: // the node repeats the request
		}
	case core.PartitionChanged:
		in.logPartition(d)
	case core.ReportNotice:
		in.logNotice(d)
	case core.SendCrashes:
		select {
		case in.crashReports <- d:
		default:
			in.logError("crash report to peers dropped", errQueueFull)
		}
	}
}

// QueueError reports that a decision of the node was dropped because the queue for it is
// full.
type QueueError struct{}

func (*QueueError) Error() string { return "instance: decision queue is full" }

var errQueueFull = &QueueError{}

func (in *Instance) applySnapshot(s *settings.Snapshot) {
	in.dispatcher.Step(core.Applied{Snapshot: s})
}

func (in *Instance) now() time.Time { return in.dispatcher.Now() }

// self returns this instance's entry for lists of instances.
func (in *Instance) self() docstore.Instance {
	return docstore.Instance{
		ID: in.cfg.ID, Incarnation: in.incarnation,
		PeerAddress: in.cfg.AdvertisePeers, CallersAddress: in.cfg.AdvertiseCallers, OperatorsAddress: in.cfg.Operators,
		Place: in.cfg.Place, Domain: in.cfg.Domain, Region: in.cfg.Region,
	}
}

// Callers returns the address for callers, with the port that the system chose.
func (in *Instance) Callers() string { return in.cfg.Callers }

// Operators returns the address for operators, with the port that the system chose.
func (in *Instance) Operators() string { return in.cfg.Operators }

// Peers returns the address for other instances, with the port that the system chose.
func (in *Instance) Peers() string { return in.cfg.Peers }

// Replaced returns a channel that is closed when a newer incarnation of this instance is
// observed. This one must then exit.
func (in *Instance) Replaced() <-chan struct{} { return in.replaced }

func (in *Instance) replace() { in.replaceOnce.Do(func() { close(in.replaced) }) }

// Start begins serving and starts the background loops.
func (in *Instance) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	in.cancel = cancel
	for i, port := range []struct {
		handler   http.Handler
		maxHeader int
		guard     *http1.Guard
	}{
		{in.server.Callers(), maxRequestHeader, in.resources.guard("callers", callers.MaxHeldBody, requestWriteTimeout, in.server.RefuseNoMemory)},
		{in.peerHandler(), maxRequestHeader, in.resources.guard("peers", callers.MaxHeldBody, requestWriteTimeout, in.server.RefuseNoMemory)},
		{in.operators, maxOperatorHeader, in.resources.guard("operators", 0, operatorWriteTimeout, refuseOperator)},
	} {
		srv := &http.Server{
			Handler: port.handler, ReadHeaderTimeout: headerTimeout,
			IdleTimeout: idleTimeout, MaxHeaderBytes: port.maxHeader,
		}
		port.guard.Protect(srv)
		in.servers = append(in.servers, srv)
		go srv.Serve(port.guard.Listen(tcp.NewListener(in.listeners[i], headerTimeout, idleTimeout, in.acceptFailed)))
	}
	for _, loop := range []func(context.Context){in.tick, in.watch, in.register, in.refreshInstances, in.maintainRoster, in.probe, in.runGrantRequests, in.sendCrashReports, in.sync, in.publishGauges, in.restoreLost} {
		in.loops.Go(func() { loop(ctx) })
	}
	in.members.start()
}

// tick steps the node's clock. The interval is short only while something in the node waits
// for a point in time, since a wake-up costs more than the step itself.
func (in *Instance) tick(ctx context.Context) {
	due := boottime.Now().Add(tickIdle)
	t := time.NewTimer(tickIdle)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-in.dispatcher.TickNeeded():
			due = earlier(due, boottime.Now().Add(tickBusy))
		case <-t.C:
			due = boottime.Now().Add(tickIdle)
			in.dispatcher.Step(core.Tick{})
		}
		t.Reset(boottime.Until(due))
	}
}

// Kill stops the instance as a crash would: connections are closed and peers are not
// notified.
func (in *Instance) Kill() {
	in.cancel()
	in.members.close()
	for _, srv := range in.servers {
		srv.Close()
	}
	in.loops.Wait()
	in.client.Close()
	if in.metrics != nil {
		in.metrics.Close()
	}
	in.rpc.CloseIdleConnections()
}

func (in *Instance) closeSockets() {
	for _, ln := range in.listeners {
		ln.Close()
	}
}
