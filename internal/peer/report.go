package peer

import (
	"google.golang.org/protobuf/proto"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/internal/owner"
	"github.com/firlever/firlever/internal/wire"
	"github.com/firlever/firlever/pkg/settings"
)

// SetRooms writes rooms into a packet.
func SetRooms(p *wire.Packet, rooms []core.Room) {
	p.Rooms = make([]*wire.Room, 0, len(rooms))
	for _, r := range rooms {
		p.Rooms = append(p.Rooms, &wire.Room{Service: r.Service.String(), Free: uint32(r.Free), Queued: uint32(r.Queued)})
	}
}

// RoomsOf reads a packet's rooms; those that can't be read are left out.
func RoomsOf(p *wire.Packet) []core.Room {
	rooms := make([]core.Room, 0, len(p.Rooms))
	for _, r := range p.Rooms {
		if id, err := settings.ParseServiceID(r.Service); err == nil {
			rooms = append(rooms, core.Room{Service: id, Free: int(r.Free), Queued: int(r.Queued)})
		}
	}
	return rooms
}

// SetRelease writes a release into a packet, together with the roster's version
// that it holds for.
func SetRelease(p *wire.Packet, r owner.Release) {
	p.Roster, p.Release = r.Version, r.Seq
	p.Releases = make([]*wire.Release, 0, len(r.Held))
	for _, h := range r.Held {
		p.Releases = append(p.Releases, &wire.Release{
			Service: h.Key.Service.String(), Target: h.Key.Name, Held: uint32(h.Slots), Quota: uint32(h.Quota),
		})
	}
	if proto.Size(p) > wire.MaxPacket {
		// Better to tell nothing than to lose the heartbeat.
		p.Release, p.Releases = 0, nil
	}
}

// ReleaseOf reads a packet's release. One that can't be read whole is an error,
// since it would say that the peer holds less than it does.
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
