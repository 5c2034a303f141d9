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

// Times and bounds of the initial load of all documents.
const (
	noPeersWait    = time.Second            // longest wait for peers without seed addresses
	watcherWait    = 4 * time.Second        // longest wait of a watcher of the domain for a peer's documents
	nonWatcherWait = 20 * time.Second       // longest wait of the other instances
	pullInterval   = 250 * time.Millisecond // longest time between two rounds of calls to peers
	pullPeers      = 3                      // peers called in one round
	listTimeout    = 15 * time.Second       // until a read of all documents begins to arrive, and between two parts of it
)

// loadDocuments gets all documents from peers, or from the platform if no peer has supplied
// them by a deadline: an early one for the domain's watchers, a late one for the other
// instances. The deadlines are jittered, so that instances that start together don't read
// at once.
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

// discoveryWait returns the longest time for the discovery of peers. Until then every
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

// pullFromPeers pulls all documents from a few peers in random order, until one has
// supplied them.
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
			in.cfg.Log.Debug("pull of documents from peer failed", "address", a, "err", err)
		}
	}
}

// fetchMembers adds the instances that a peer knows to the membership. The platform's list
// lags, and random pings between places take time.
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
			ID: m.Id, Incarnation: m.Incarnation, PeerAddress: m.Address, CallersAddress: m.Callers, OperatorsAddress: m.Operators,
			Place: m.Place, Domain: m.Domain, Region: m.Region, Leaving: m.Leaving,
		})
	}
	in.members.AddListed(list)
	return nil
}

// liveInstances returns this instance and the known ones that are not dead.
func (in *Instance) liveInstances() []*wire.News {
	var news []*wire.News
	for _, p := range in.fleet(context.Background()) {
		news = append(news, &wire.News{
			Id: p.ID, Incarnation: p.Incarnation, Address: p.PeerAddress, Callers: p.CallersAddress, Operators: p.OperatorsAddress,
			Place: p.Place, Domain: p.Domain, Region: p.Region, Leaving: p.Leaving,
		})
	}
	return news
}

// candidateAddresses returns the addresses of peers that may have the documents, in random
// order: the seed addresses and those of known members.
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
			add(m.PeerAddress)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// readAll reads all documents from the platform.
func (in *Instance) readAll(ctx context.Context) error {
	ctx, cancel := receiveAll(ctx, listTimeout)
	defer cancel()
	sent := in.now()
	entries, revision, err := in.cfg.Store.List(ctx, "/")
	if err != nil {
		return err
	}
	in.applyEntries(entries)
	in.docs.Complete(platform.Later(revision, platform.NewRevision(0, 1))) // at least revision 1, for a store that is empty
	in.confirmByStore(sent)
	return nil
}
