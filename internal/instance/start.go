package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/member"
	"github.com/firlever/firlever/internal/wire"
	"github.com/firlever/firlever/platform"
)

// How an instance gets all documents at its start.
const (
	noPeersWait    = time.Second            // the longest that an instance waits for peers if it was given none
	watcherWait    = 4 * time.Second        // the longest that a watcher of the domain waits for a peer's answer
	nonWatcherWait = 20 * time.Second       // the longest that the others wait
	pullInterval   = 250 * time.Millisecond // the longest between two rounds of questions to peers
	pullPeers      = 3                      // peers asked in one round
	listTimeout    = 15 * time.Second       // of one reading of all documents
)

// loadDocuments gets all documents from peers, or from the platform if no peer has
// given them by a deadline: an early one for the domain's watchers, a late one
// for the others. The deadlines differ between instances that start together.
func (in *Instance) loadDocuments(ctx context.Context) {
	var b backoff
	start := in.now()
	watcherDue := start.Add(jittered(in.discoveryWait()))
	othersDue := start.Add(jittered(nonWatcherWait))
	for ctx.Err() == nil && !in.complete() {
		in.pullFromPeers(ctx)
		now := in.now()
		if in.complete() || now.Before(watcherDue) || now.Before(othersDue) && !in.isWatcher() {
			sleep(ctx, jittered(pullInterval))
			continue
		}
		if err := in.readAll(ctx); err != nil {
			in.platformFailed("list", err)
			watcherDue = in.now().Add(b.step())
			othersDue = watcherDue
		}
	}
}

// discoveryWait is how long it may take at most to hear of peers: before that every
// instance takes itself for a watcher.
func (in *Instance) discoveryWait() time.Duration {
	if len(in.cfg.Join) == 0 {
		return noPeersWait
	}
	return watcherWait
}

func (in *Instance) complete() bool {
	_, complete := in.docs.Progress()
	return !complete.IsZero()
}

// pullFromPeers asks a few peers in random order for all documents, until one has them.
func (in *Instance) pullFromPeers(ctx context.Context) {
	addresses := in.candidateAddresses()
	for _, a := range addresses[:min(len(addresses), pullPeers)] {
		if in.complete() || ctx.Err() != nil {
			return
		}
		err := in.pull(ctx, a)
		if err == nil {
			err = in.fetchMembers(ctx, a)
		}
		if err != nil && in.cfg.Log != nil {
			in.cfg.Log.Debug("peer gave no documents", "address", a, "err", err)
		}
	}
}

// fetchMembers learns of the instances that a peer knows. The platform's list lags, and
// chance pings between places take their time.
func (in *Instance) fetchMembers(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	resp, err := in.peerClient(address).Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return err
	}
	list := make([]docstore.Instance, 0, len(resp.Members))
	for _, m := range resp.Members {
		list = append(list, docstore.Instance{
			ID: m.Id, Incarnation: m.Incarnation, Address: m.Address, Callers: m.Callers, Operators: m.Operators,
			Place: m.Place, Domain: m.Domain, Region: m.Region, Leaving: m.Leaving,
		})
	}
	in.members.AddListed(list)
	return nil
}

// liveInstances are this instance and those that it knows to live.
func (in *Instance) liveInstances() []*wire.News {
	var news []*wire.News
	for _, p := range in.fleet(context.Background()) {
		news = append(news, &wire.News{
			Id: p.ID, Incarnation: p.Incarnation, Address: p.Address, Callers: p.Callers, Operators: p.Operators,
			Place: p.Place, Domain: p.Domain, Region: p.Region, Leaving: p.Leaving,
		})
	}
	return news
}

// candidateAddresses are the addresses of peers that may have the documents, in random
// order: those given at the start, and those heard of since.
func (in *Instance) candidateAddresses() []string {
	known := make(map[string]bool)
	var list []string
	add := func(address string) {
		if !known[address] && address != in.cfg.AdvertisePeers {
			known[address] = true
			list = append(list, address)
		}
	}
	for _, a := range in.cfg.Join {
		add(a)
	}
	for _, m := range in.members.Members() {
		if m.State != member.Dead {
			add(m.Address)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// readAll reads all documents from the platform.
func (in *Instance) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, revision, err := in.cfg.Store.List(ctx, "/")
	if err != nil {
		return err
	}
	in.applyEntries(entries)
	in.docs.Complete(platform.Later(revision, platform.NewRevision(0, 1))) // also of a store that is empty
	return nil
}
