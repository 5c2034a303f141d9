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
	"github.com/firlever/firlever/internal/metrics"
	"github.com/firlever/firlever/internal/targets"
	"github.com/firlever/firlever/internal/tcp"
	"github.com/firlever/firlever/pkg/settings"
)

// Timers of an instance.
const (
	tickBusy          = 10 * time.Millisecond // while something waits for time to pass
	tickIdle          = 50 * time.Millisecond // while nothing does
	headerTimeout     = 5 * time.Second       // for a caller to send a request's headers, from their first byte on
	idleTimeout       = 2 * time.Minute
	maxRequestHeader  = 256 << 10 // from callers and peers; over 32 KB gets a typed refusal
	maxOperatorHeader = 32 << 10  // from operators
	queueLength       = 64        // of decisions that wait to be carried out
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
	metrics          *metrics.Set // made here, and closed here; nil if cfg has one
	rosterSwaps      chan core.SwapRoster
	probes           chan core.Probe
	replaced         chan struct{} // closed when a newer incarnation of this instance runs
	replaceOnce      sync.Once
	grantRequests    chan core.AskGrant
	crashReports     chan core.TellCrashes
	divergedPeers    chan docstore.Instance // peers whose documents differ
	newerRosterPeers chan docstore.Instance // peers of the place that have a newer roster
	restoration      *restoration
	rpc              *http.Client // of control calls to peers

	listeners []net.Listener // callers', peers' and operators', in this order
	servers   []*http.Server // of listeners
	cancel    context.CancelFunc
	loops     sync.WaitGroup
}

// New makes an instance and opens its sockets. It serves nothing before Start.
// It returns a *ConfigError if cfg is at fault.
func New(cfg Config) (*Instance, error) {
	cfg.Defaults()
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	if cfg.Dial == nil && cfg.Source != "" {
		cfg.Dial = targets.DialFrom(cfg.Source)
	}
	in := &Instance{
		cfg:              cfg,
		incarnation:      uint64(time.Now().UnixNano()),
		client:           targets.New(cfg.Dial),
		rosterSwaps:      make(chan core.SwapRoster, 1),
		probes:           make(chan core.Probe, queueLength),
		grantRequests:    make(chan core.AskGrant, queueLength),
		crashReports:     make(chan core.TellCrashes, queueLength),
		divergedPeers:    make(chan docstore.Instance, 1),
		newerRosterPeers: make(chan docstore.Instance, 1),
		restoration:      newRestoration(),
		replaced:         make(chan struct{}),
		rpc:              &http.Client{Transport: &http.Transport{DialContext: cfg.Dial}, Timeout: syncTimeout},
	}
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

// listen opens the three TCP addresses, and notes the ports that were chosen.
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

// ListenError says that an address can't be served.
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
	in.docs = newDocuments(in.cfg.Checks, in.cfg.Log, in.applySnapshot)
	in.server = callers.New(callers.Config{
		Instance: in.cfg.ID, Callers: in.cfg.AdvertiseCallers, Checks: in.cfg.Checks, Log: in.cfg.Log,
		Metrics: in.cfg.Metrics, Load: in.cfg.Load,
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

// control takes decisions that are not about one request. It is called with
// the dispatcher locked, so it only passes them on.
func (in *Instance) control(d core.Decision) {
	switch d := d.(type) {
	case core.SwapRoster:
		select {
		case in.rosterSwaps <- d:
		default: // one is under way; the node asks again
		}
	case core.Probe:
		select {
		case in.probes <- d:
		default: // the next round asks again
		}
	case core.AskGrant:
		select {
		case in.grantRequests <- d:
		default: // the node asks again
		}
	case core.TargetNews:
		in.logNotice(d)
	case core.TellCrashes:
		select {
		case in.crashReports <- d:
		default:
			in.logError("peers not told of a target that ended", errQueueFull)
		}
	}
}

// QueueError says that what the node decided waits for too many others.
type QueueError struct{}

func (*QueueError) Error() string { return "instance: too many decisions wait" }

var errQueueFull = &QueueError{}

func (in *Instance) applySnapshot(s *settings.Snapshot) {
	in.dispatcher.Step(core.Applied{Snapshot: s})
}

func (in *Instance) now() time.Time { return in.dispatcher.Now() }

// self is this instance's line in lists of instances.
func (in *Instance) self() docstore.Instance {
	return docstore.Instance{
		ID: in.cfg.ID, Incarnation: in.incarnation,
		Address: in.cfg.AdvertisePeers, Callers: in.cfg.AdvertiseCallers, Operators: in.cfg.Operators,
		Place: in.cfg.Place, Domain: in.cfg.Domain, Region: in.cfg.Region,
	}
}

// Callers is the address that is listened at for callers, with the port that was chosen.
func (in *Instance) Callers() string { return in.cfg.Callers }

// Operators is the address that operators use, with the port that was chosen.
func (in *Instance) Operators() string { return in.cfg.Operators }

// Peers is the address that is listened at for other instances, with the port that was chosen.
func (in *Instance) Peers() string { return in.cfg.Peers }

// Replaced is closed when a newer incarnation of this very instance runs: this
// one has to end.
func (in *Instance) Replaced() <-chan struct{} { return in.replaced }

func (in *Instance) replace() { in.replaceOnce.Do(func() { close(in.replaced) }) }

// Start begins to serve.
func (in *Instance) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	in.cancel = cancel
	handlers := []http.Handler{in.server.Callers(), in.peerHandler(), in.operators}
	headerLimits := []int{maxRequestHeader, maxRequestHeader, maxOperatorHeader}
	for i, ln := range in.listeners {
		srv := &http.Server{
			Handler: handlers[i], ReadHeaderTimeout: headerTimeout,
			IdleTimeout: idleTimeout, MaxHeaderBytes: headerLimits[i],
		}
		in.servers = append(in.servers, srv)
		go srv.Serve(tcp.NewListener(ln, headerTimeout, idleTimeout))
	}
	for _, loop := range []func(context.Context){in.tick, in.watch, in.register, in.refreshInstances, in.maintainRoster, in.probe, in.runGrantRequests, in.sendCrashReports, in.sync, in.publishGauges, in.restoreLost} {
		in.loops.Go(func() { loop(ctx) })
	}
	in.members.start()
}

// tick tells the node that time passes: often while something waits for it,
// since each waking costs more than what the node does at it.
func (in *Instance) tick(ctx context.Context) {
	due := boottime.Now().Add(tickIdle)
	t := time.NewTimer(tickIdle)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-in.dispatcher.Waiting():
			due = earlier(due, boottime.Now().Add(tickBusy))
		case <-t.C:
			due = boottime.Now().Add(tickIdle)
			in.dispatcher.Step(core.Tick{})
		}
		t.Reset(boottime.Until(due))
	}
}

// Kill ends the instance as a crash would: connections break, nobody is told.
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
