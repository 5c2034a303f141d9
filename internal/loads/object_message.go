package loads

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/placement"
)

const (
	// maxObjects is how many objects a message holds at most: 4 KB of one service, and 8 KB if each
	// object is of another. There is one message a second in each direction.
	maxObjects = 320
	// maxObjectBytes bounds what is read of a message.
	maxObjectBytes = 8 << 10
)

// objectHead is the head of a message in either direction.
type objectHead struct {
	Run      uint64 // identifies the process that collects; 0 if not known
	Last     uint64 // sequence number of the newest known change, assigned by the collector
	Flags    uint8
	Services uint16 // number of objectServices
}

// Flags of an objectHead, in answers.
const (
	flagFirst = 1 << iota // the first change that the collector knows is in it
	flagEnd               // the newest one is in it
)

// objectService is the head of a service's entries.
type objectService struct {
	Service uint64 // hash of its name
	Warm    uint16 // duration of warm work in milliseconds
	Objects uint16 // number of objectEntries that follow
}

// objectEntry is the encoding of a count or a load, of fixed size: 12 bytes.
type objectEntry struct {
	Key     uint64
	Binding uint16 // regions, with bindingNear
	Value   uint16 // requests in a question, the level in an answer
}

// bindingNear marks objects with large answers.
const bindingNear = 1 << 15

// objectMessage is a message between two instances: a head, and for each service its head and its
// entries. An answer holds levels in place of counts.
type objectMessage struct {
	objectHead
	counts []placement.ServiceCounts
}

// answerOf returns the answer that tells a batch.
func answerOf(run uint64, b placement.Batch) objectMessage {
	m := objectMessage{objectHead: objectHead{Run: run, Last: b.Last}}
	if b.First {
		m.Flags |= flagFirst
	}
	if b.End {
		m.Flags |= flagEnd
	}
	position := make(map[uint64]int)
	for _, l := range b.Loads {
		i, ok := position[l.Service]
		if !ok {
			i = len(m.counts)
			position[l.Service] = i
			m.counts = append(m.counts, placement.ServiceCounts{Service: l.Service})
		}
		m.counts[i].Counts = append(m.counts[i].Counts, placement.Count{Object: l.Object, Requests: int(l.Level)})
	}
	return m
}

// batch returns what an answer tells.
func (m *objectMessage) batch() placement.Batch {
	b := placement.Batch{Last: m.Last, First: m.Flags&flagFirst != 0, End: m.Flags&flagEnd != 0}
	for _, s := range m.counts {
		for _, c := range s.Counts {
			b.Loads = append(b.Loads, placement.Load{Service: s.Service, Object: c.Object, Level: uint8(min(c.Requests, math.MaxUint8))})
		}
	}
	return b
}

// encode encodes a message.
func (m objectMessage) encode() []byte {
	m.Services = uint16(len(m.counts))
	b := appendFixed(nil, m.objectHead)
	for _, s := range m.counts {
		b = appendFixed(b, objectService{Service: s.Service, Warm: clamp(s.Warm.Milliseconds()), Objects: uint16(len(s.Counts))})
		for _, c := range s.Counts {
			e := objectEntry{Key: c.Key, Binding: c.Regions &^ bindingNear, Value: clamp(int64(c.Requests))}
			if c.Near {
				e.Binding |= bindingNear
			}
			b = appendFixed(b, e)
		}
	}
	return b
}

// appendFixed appends a value of fixed size.
func appendFixed(b []byte, v any) []byte {
	b, err := binary.Append(b, binary.LittleEndian, v)
	if err != nil {
		panic(err) // only for a type without a fixed size
	}
	return b
}

// decodeObjects decodes a message. It returns a *MessageError.
func decodeObjects(b []byte) (objectMessage, error) {
	var m objectMessage
	r := bytes.NewReader(b)
	if err := binary.Read(r, binary.LittleEndian, &m.objectHead); err != nil {
		return objectMessage{}, errors.Trace(&MessageError{Reason: err.Error()})
	}
	left := maxObjects
	for range m.Services {
		var s objectService
		if err := binary.Read(r, binary.LittleEndian, &s); err != nil {
			return objectMessage{}, errors.Trace(&MessageError{Reason: err.Error()})
		}
		if left -= int(s.Objects); left < 0 {
			return objectMessage{}, errors.Trace(&MessageError{Reason: fmt.Sprintf("more than %d objects", maxObjects)})
		}
		entries := make([]objectEntry, s.Objects)
		if err := binary.Read(r, binary.LittleEndian, entries); err != nil {
			return objectMessage{}, errors.Trace(&MessageError{Reason: err.Error()})
		}
		c := placement.ServiceCounts{Service: s.Service, Warm: time.Duration(s.Warm) * time.Millisecond}
		for _, e := range entries {
			o := placement.Object{Key: e.Key, Regions: e.Binding &^ bindingNear, Near: e.Binding&bindingNear != 0}
			c.Counts = append(c.Counts, placement.Count{Object: o, Requests: int(e.Value)})
		}
		m.counts = append(m.counts, c)
	}
	if r.Len() > 0 {
		return objectMessage{}, errors.Trace(&MessageError{Reason: fmt.Sprintf("%d bytes too many", r.Len())})
	}
	return m, nil
}
