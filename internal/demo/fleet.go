package demo

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/emulator/clock"
	"github.com/firlever/firlever/internal/emulator/inproc"
	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/internal/emulator/store"
	"github.com/firlever/firlever/internal/emulator/target"
	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/pkg/settings"
)

// loopback is a listening address with a port chosen by the system.
const loopback = "127.0.0.1:0"

// platformPoint is the point of the platform: a failure domain of its own in the
// region of the first place.
const platformPoint = "platform"

// fleet holds all parts of a deployment: the network, the platform, targets and instances.
type fleet struct {
	cfg      Config
	profile  Profile
	snapshot *settings.Snapshot  // compiled from cfg.Documents
	docs     []settings.Document // with the targets' addresses of this run

	clock          *clock.Clock
	links          *link.Links
	directory      *directory
	instanceChecks *invariant.Counter // made by the instances
	observerChecks *invariant.Counter // made by the journal, the targets, the callers and the run
	journal        *target.Journal
	directJournal  *target.Journal // of targets that are called directly

	store          *inproc.Store          // platform's store; used directly here, and by instances through the proxies
	proxies        map[string]*link.Proxy // to the platform, by place
	targetsStarted uint64                 // number of targets started
	targets        []*restartingTarget    // all targets, also those called directly
	crashes        crashTimes             // caused by poison requests
	directTargets  map[string]string      // address of the directly called target, by place
	instances      *instanceSet
	details        details
	closers        []func() // run by close in reverse order
}

func newFleet(cfg Config) (*fleet, error) {
	s, err := settings.Compile(cfg.Documents)
	if err != nil {
		return nil, errors.Annotate(err, "demo.newFleet")
	}
	f := &fleet{
		cfg: cfg, profile: profileFor(s), snapshot: s,
		clock: clock.Start(), directory: newDirectory(), instances: newInstanceSet(),
		proxies: make(map[string]*link.Proxy), directTargets: make(map[string]string),
	}
	f.instanceChecks, f.observerChecks = invariant.New(f.details.add), invariant.New(f.details.add)
	f.closers = append(f.closers, f.clock.Close)
	f.links = link.New(locations(s), f.profile.Latency, cfg.Seed, f.clock)
	f.journal = target.NewJournal(f.observerChecks, time.Now().Truncate(time.Second))
	f.directJournal = target.NewJournal(nil, time.Now())
	for _, step := range []func() error{f.startPlatform, f.startTargets, f.seedDocuments, f.startInstances} {
		if err := step(); err != nil {
			f.close()
			return nil, errors.Annotate(err, "demo.newFleet")
		}
	}
	return f, nil
}

// locations returns the locations of all places and of the platform.
func locations(s *settings.Snapshot) map[string]link.Location {
	m := make(map[string]link.Location)
	for i, name := range s.Places() {
		p, _ := s.Place(name)
		m[name] = link.Location{Region: p.Region, Domain: p.Domain}
		if i == 0 {
			m[platformPoint] = link.Location{Region: p.Region, Domain: platformPoint}
		}
	}
	return m
}

// startPlatform serves the platform over TCP, with a proxy for each place through
// which calls pass over the emulated links.
func (f *fleet) startPlatform() error {
	cfg := store.Defaults()
	cfg.Seed = f.cfg.Seed
	local, err := inproc.New(cfg)
	if err != nil {
		return errors.Trace(err)
	}
	f.store = local
	server := local.Server()
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Trace(err)
	}
	go server.Serve(ln)
	f.closers = append(f.closers, func() { server.Close() })
	for _, place := range f.snapshot.Places() {
		front, err := net.Listen("tcp", loopback)
		if err != nil {
			return errors.Trace(err)
		}
		p := link.NewProxy(front, f.links, link.At(place), link.At(platformPoint), ln.Addr().String())
		f.proxies[place] = p
		f.closers = append(f.closers, func() { p.Close() })
	}
	return nil
}

// seedDocuments writes the documents, with the targets' addresses of this run, to the store.
func (f *fleet) seedDocuments() error {
	for _, doc := range f.docs {
		write := fmt.Sprintf("seed-%d", len(doc.Path))
		if _, err := docstore.PutDocument(context.Background(), f.store, doc.Path, 0, doc.Body, write); err != nil {
			return errors.Annotate(err, "fleet.seedDocuments")
		}
	}
	return nil
}

// close kills the instances, then closes all other parts in reverse order of their start.
func (f *fleet) close() {
	for _, p := range f.instances.running() {
		p.kill()
	}
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}
