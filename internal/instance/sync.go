package instance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/firlever/firlever/internal/docstore"
	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/internal/replica"
	"github.com/firlever/firlever/internal/wire"
	"github.com/firlever/firlever/pkg/settings"
	"github.com/firlever/firlever/platform"
)

// Times and bounds of the exchange of documents among instances.
const (
	syncTimeout = 3 * time.Second  // timeout of one call to a peer
	pullTimeout = 30 * time.Second // timeout of all calls that pull a peer's newer documents
	pushPeers   = 3                // peers to which a new document is pushed
	maxPush     = 16 << 10         // most bytes of documents that are pushed; larger ones are fetched
	maxFetch    = 512 << 10        // bytes of documents after which an answer ends
	maxPaths    = 1024             // most paths in one request
)

// markDiverged queues a peer whose documents differ from the local ones.
func (in *Instance) markDiverged(peer docstore.Instance) {
	select {
	case in.divergedPeers <- peer:
	default: // a peer is queued already; a later packet repeats this one
	}
}

// sync pulls documents from queued peers whose documents differ.
func (in *Instance) sync(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-in.divergedPeers:
			if err := in.pull(ctx, p.PeerAddress); err != nil && in.cfg.Log != nil {
				in.cfg.Log.Debug("sync failed", "instance", p.ID, "err", err)
			}
		}
	}
}

// pull fetches from the peer at an address the documents that are newer there. The messages
// are small when little differs. If neither the peer's documents nor the local ones are
// known to be complete, nothing is fetched.
func (in *Instance) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	client := in.peerClient(address)
	var buckets replica.Buckets
	var complete platform.Revision
	in.docs.Read(func(s *replica.Set, c platform.Revision) { buckets, complete = s.Buckets(), c })
	digest, err := client.Digest(ctx, &wire.DigestRequest{Buckets: buckets[:]})
	if err != nil {
		return err
	}
	remote := platform.NewRevision(digest.Epoch, digest.Complete)
	if complete.IsZero() && remote.IsZero() {
		return nil
	}
	if err := in.fetch(ctx, client, in.missing(digest.Versions)); err != nil {
		return err
	}
	in.docs.Complete(remote)
	return nil
}

// fetch gets documents by path until all are here. A peer has each path that its digest
// named, at that version or a newer one.
func (in *Instance) fetch(ctx context.Context, client wire.Peer, missing []string) error {
	for len(missing) > 0 {
		resp, err := client.Fetch(ctx, &wire.FetchRequest{Paths: missing[:min(len(missing), maxPaths)]})
		if err != nil {
			return err
		}
		if len(resp.Documents) == 0 {
			return &IncompleteFetchError{Missing: len(missing)}
		}
		in.applyDocuments(fromWire(resp.Documents))
		missing = missing[min(len(resp.Documents), len(missing)):]
	}
	return nil
}

// IncompleteFetchError reports that a peer did not return documents that its digest named.
type IncompleteFetchError struct{ Missing int }

func (e *IncompleteFetchError) Error() string {
	return fmt.Sprintf("instance: peer did not return %d documents of its digest", e.Missing)
}

func (in *Instance) missing(remote []*wire.Version) []string {
	versions := make([]replica.Version, 0, len(remote))
	for _, v := range remote {
		versions = append(versions, replica.Version{Path: v.Path, Version: v.Version})
	}
	var paths []string
	in.docs.Read(func(s *replica.Set, _ platform.Revision) {
		for _, v := range s.Missing(versions) {
			paths = append(paths, v.Path)
		}
	})
	return paths
}

// applyDocuments puts documents in force and pushes the newer ones to a few peers.
func (in *Instance) applyDocuments(docs []settings.Document) {
	_, complete := in.docs.Progress()
	changed := in.docs.Apply(docs)
	in.checkReceived(changed)
	if len(changed) == 0 || complete.IsZero() {
		return // before this instance is complete, other instances already have what is new here
	}
	in.push(changed)
}

// push sends new documents to a few random peers. The others pull them after the next
// membership packet.
func (in *Instance) push(paths []string) {
	docs := in.documentsByPath(paths, maxPush)
	if len(docs) == 0 {
		return
	}
	members := in.members.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, m := range members[:min(len(members), pushPeers)] {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
			defer cancel()
			in.peerClient(m.PeerAddress).Push(ctx, &wire.PushRequest{Documents: docs})
		}()
	}
}

// documentsByPath returns the documents at these paths, up to about so many bytes, but at
// least one if there is one.
func (in *Instance) documentsByPath(paths []string, maxBytes int) []*wire.Document {
	var docs []*wire.Document
	size := 0
	in.docs.Read(func(s *replica.Set, _ platform.Revision) {
		for _, path := range paths {
			doc, ok := s.Get(path)
			if !ok {
				continue
			}
			size += len(doc.Body)
			if size > maxBytes && len(docs) > 0 {
				return
			}
			docs = append(docs, toWire(doc))
		}
	})
	return docs
}

func toWire(d settings.Document) *wire.Document {
	return &wire.Document{Path: d.Path, Version: d.Version, Value: d.Body, Deleted: d.Deleted}
}

func fromWire(docs []*wire.Document) []settings.Document {
	list := make([]settings.Document, 0, len(docs))
	for _, d := range docs {
		list = append(list, settings.Document{Path: d.Path, Version: d.Version, Body: d.Value, Deleted: d.Deleted})
	}
	return list
}

func (in *Instance) peerClient(address string) wire.Peer {
	return wire.NewPeerProtobufClient("http://"+address, in.rpc)
}

// peerHandler returns the handler of the peers' address: forwarded requests, hand-offs and
// control calls.
func (in *Instance) peerHandler() http.Handler {
	r := chi.NewRouter()
	in.server.Peers(r)
	twirp := wire.NewPeerServer(&peerServer{in: in})
	r.Mount(twirp.PathPrefix(), http1.HoldBodies(twirp, controlRequestBytes))
	return r
}

// controlRequestBytes and controlAnswerBytes return how many bytes a control call holds once it is decoded.
func controlRequestBytes(r *http.Request, body []byte) int64 {
	return wire.RequestBytes(path.Base(r.URL.Path), body)
}

func controlAnswerBytes(r *http.Request, body []byte) int64 {
	return wire.AnswerBytes(path.Base(r.URL.Path), body)
}

// peerServer serves the control calls of other instances.
type peerServer struct{ in *Instance }

// Digest returns the versions of the documents in the buckets that differ.
func (s *peerServer) Digest(_ context.Context, r *wire.DigestRequest) (*wire.DigestResponse, error) {
	var remote replica.Buckets
	copy(remote[:], r.Buckets)
	resp := &wire.DigestResponse{}
	s.in.docs.Read(func(set *replica.Set, complete platform.Revision) {
		resp.Root, resp.Complete, resp.Epoch = set.Root(), complete.Count(), complete.Epoch()
		for _, bucket := range set.Differ(remote) {
			for _, v := range set.Digest(bucket) {
				resp.Versions = append(resp.Versions, &wire.Version{Path: v.Path, Version: v.Version})
			}
		}
	})
	return resp, nil
}

// Fetch returns documents by path, or the place's roster.
func (s *peerServer) Fetch(_ context.Context, r *wire.FetchRequest) (*wire.FetchResponse, error) {
	docs := s.in.documentsByPath(r.Paths, maxFetch)
	if len(r.Paths) == 1 && r.Paths[0] == rosterRoot+s.in.cfg.Place {
		if roster := s.in.ownRoster(); roster != nil {
			docs = append(docs, roster)
		}
	}
	return &wire.FetchResponse{Documents: docs}, nil
}

// Push adds documents.
func (s *peerServer) Push(_ context.Context, r *wire.PushRequest) (*wire.PushResponse, error) {
	s.in.applyDocuments(fromWire(r.Documents))
	return &wire.PushResponse{Root: s.in.docs.Root()}, nil
}

// Status returns the versions in force here and the known instances.
func (s *peerServer) Status(_ context.Context, _ *wire.StatusRequest) (*wire.StatusResponse, error) {
	resp := &wire.StatusResponse{Id: s.in.cfg.ID, Incarnation: s.in.incarnation, Root: s.in.docs.Root(), Members: s.in.liveInstances()}
	for _, d := range s.in.docs.Documents() {
		resp.Versions = append(resp.Versions, &wire.Version{Path: d.Path, Version: d.Version})
	}
	return resp, nil
}

// isWatcher reports whether this instance watches the platform's store for its domain.
func (in *Instance) isWatcher() bool {
	return replica.IsWatcher(in.domainPeers(), in.cfg.ID, watchers)
}

// domainPeers returns the IDs of the other live instances of the domain.
func (in *Instance) domainPeers() []string {
	var ids []string
	for _, m := range in.members.Members() {
		if m.Domain == in.cfg.Domain && m.State.String() == "alive" {
			ids = append(ids, m.ID)
		}
	}
	return ids
}
