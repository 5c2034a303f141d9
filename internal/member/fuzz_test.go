package member

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/firlever/firlever/internal/wire"
)

// FuzzReceive passes an arbitrary packet to a list several times. The list must not panic, must not
// exceed its limits, and must not send packets that are too large.
func FuzzReceive(f *testing.F) {
	self, peer := instance(0, 3, 1), member{in: instance(1, 3, 1)}
	far := member{in: instance(7, 3, 1)}
	seed := func(p *wire.Packet) {
		data, err := proto.Marshal(p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	seed(&wire.Packet{From: peer.in.ID, Incarnation: 5, Kind: wire.Kind_KIND_PING, Known: 1, News: []*wire.News{peer.update(true), far.update(true)}})
	seed(&wire.Packet{From: peer.in.ID, Incarnation: peer.in.Incarnation, Kind: wire.Kind_KIND_PING_REQ, Target: "x", TargetAddress: "1.2.3.4:5", News: []*wire.News{peer.update(true)}})
	seed(&wire.Packet{From: peer.in.ID, Incarnation: peer.in.Incarnation, Kind: wire.Kind_KIND_ACK, Sequence: 1, News: []*wire.News{{Id: self.ID, State: 2, Incarnation: self.Incarnation}}})
	f.Fuzz(func(t *testing.T, data []byte) {
		p := &wire.Packet{}
		if proto.Unmarshal(data, p) != nil {
			return
		}
		l, err := New(Config{Self: self, MaxDomain: 4, MaxPlaces: 2}, start)
		if err != nil {
			t.Fatal(err)
		}
		now := start
		for range 3 {
			sends, err := l.Receive(now, p)
			var refused *PacketError
			if err != nil && !errors.As(err, &refused) {
				t.Errorf("got %T, want *PacketError", err)
			}
			for _, s := range append(sends, l.Tick(now)...) {
				if got := proto.Size(s.Packet); got > wire.MaxPacket {
					t.Errorf("got a packet of %d bytes, want at most %d", got, wire.MaxPacket)
				}
			}
			now = now.Add(700 * time.Millisecond)
		}
		if got := len(l.Members()); got > 4+2*3 {
			t.Errorf("got %d members, want at most 10", got)
		}
	})
}
