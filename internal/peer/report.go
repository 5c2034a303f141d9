package peer

import (
	"google.golang.org/protobuf/proto"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/internal/wire"
	"github.com/firlever/firlever/pkg/settings"
)

// SetFreeSlots writes the free slots of services into a packet.
func SetFreeSlots(p *wire.Packet, rooms []core.FreeSlots) {
	p.Rooms = make([]*wire.Room, 0, len(rooms))
	for _, r := range rooms {
		p.Rooms = append(p.Rooms, &wire.Room{Service: r.Service.String(), Free: uint32(r.Free), Queued: uint32(r.Queued)})
	}
}

// FreeSlotsOf reads the free slots of services from a packet. Entries that can't be parsed are omitted.
func FreeSlotsOf(p *wire.Packet) []core.FreeSlots {
	rooms := make([]core.FreeSlots, 0, len(p.Rooms))
	for _, r := range p.Rooms {
		if id, err := settings.ParseServiceID(r.Service); err == nil {
			rooms = append(rooms, core.FreeSlots{Service: id, Free: int(r.Free), Queued: int(r.Queued)})
		}
	}
	return rooms
}

// SetRelease writes a release into a packet, with the version of the roster that it applies to.
func SetRelease(p *wire.Packet, r owner.Release) {
	p.Roster, p.Release = r.Version, r.Seq
	p.Releases = make([]*wire.Release, 0, len(r.Held))
	for _, h := range r.Held {
		p.Releases = append(p.Releases, &wire.Release{
			Service: h.Key.Service.String(), Target: h.Key.Name, Held: uint32(h.Slots), Quota: uint32(h.Quota),
		})
	}
	if proto.Size(p) > wire.MaxPacket {
		// Too large for a packet: the heartbeat is sent without the release rather than lost.
		p.Release, p.Releases = 0, nil
	}
}

// ReleaseOf reads a packet's release. It returns an error if any entry can't be parsed, since the
// rest would state that the peer holds less than it does.
func ReleaseOf(p *wire.Packet) (owner.Release, error) {
	r := owner.Release{From: p.From, Incarnation: p.Incarnation, Version: p.Roster, Seq: p.Release}
	for _, h := range p.Releases {
		id, err := settings.ParseServiceID(h.Service)
		if err != nil {
			return owner.Release{}, err
		}
		r.Held = append(r.Held, owner.Held{
			Key: owner.TargetKey{Service: id, Name: h.Target}, Slots: int(h.Held), Quota: int(h.Quota),
		})
	}
	return r, nil
}
