package loads

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/steer"
)

// maxLoads is how many reports of load a message holds at most: 12 KB. 8 instances of today's
// sizes hear from fewer targets in a second; at 65 of them 250 come in half a second. maxConstraints
// is how many reports it holds of what targets ask for: 14 KB.
const (
	maxLoads       = 1024
	maxConstraints = 512
)

// head begins a message of either direction.
type head struct {
	From        uint64 // who sends it: a hash of its name
	Run         uint64 // of the process that collects; 0 if not known
	Loads       uint64 // number of the newest report of load that is known, in the collector's order
	Constraints uint64 // the same of what targets ask for
}

// loadEntry is a report of load in a message, of fixed size: 12 bytes instead of the 60 of a text.
type loadEntry struct {
	Target uint64
	Load   uint16
	Age    uint16 // in milliseconds when the message was made
}

// constraintEntry is a report of what a target asks for, of fixed size: 27 bytes.
type constraintEntry struct {
	Target  uint64
	Started int64 // in Unix milliseconds; 0 if not known
	Limit   float64
	Flags   uint8
	Age     uint16
}

// Flags of an constraintEntry.
const (
	flagLeaving = 1 << iota
	flagLimited
)

// message is what two instances tell each other: a head, the count of constraintEntries, those, and
// loadEntries up to its end.
type message struct {
	head
	told steer.Told
}

// MessageError says that a message can't be read.
type MessageError struct{ Reason string }

func (e *MessageError) Error() string { return "loads: message: " + e.Reason }

// encode writes a message. Reports beyond its bounds are left out.
func (m message) encode(now time.Time) ([]byte, error) {
	constraints := make([]constraintEntry, 0, len(m.told.Constraints))
	for _, r := range m.told.Constraints[:min(len(m.told.Constraints), maxConstraints)] {
		constraints = append(constraints, encodeConstraint(now, r))
	}
	loads := make([]loadEntry, 0, len(m.told.Loads))
	for _, r := range m.told.Loads[:min(len(m.told.Loads), maxLoads)] {
		loads = append(loads, loadEntry{Target: r.Target, Load: clamp(int64(r.Load)), Age: age(now, r.At)})
	}
	var b bytes.Buffer
	for _, part := range []any{m.head, uint16(len(constraints)), constraints, loads} {
		if err := binary.Write(&b, binary.LittleEndian, part); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return b.Bytes(), nil
}

func encodeConstraint(now time.Time, r steer.Constraint) constraintEntry {
	e := constraintEntry{Target: r.Target, Limit: r.Limit, Age: age(now, r.At)}
	if !r.Started.IsZero() {
		e.Started = r.Started.UnixMilli()
	}
	if r.Leaving {
		e.Flags |= flagLeaving
	}
	if r.Limited {
		e.Flags |= flagLimited
	}
	return e
}

// clamp keeps a count within what an entry holds.
func clamp(n int64) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// age is how old a report is, in milliseconds.
func age(now, at time.Time) uint16 { return clamp(now.Sub(at).Milliseconds() + 1) }

// madeAt is when a report of an age was madeAt.
func madeAt(now time.Time, age uint16) time.Time {
	return now.Add(-time.Duration(age) * time.Millisecond)
}

// decode reads a message that came at now. It returns a *MessageError.
func decode(now time.Time, b []byte) (message, error) {
	var m message
	var count uint16
	r := bytes.NewReader(b)
	for _, part := range []any{&m.head, &count} {
		if err := binary.Read(r, binary.LittleEndian, part); err != nil {
			return message{}, errors.Trace(&MessageError{Reason: err.Error()})
		}
	}
	left, each := r.Len()-int(count)*binary.Size(constraintEntry{}), binary.Size(loadEntry{})
	if count > maxConstraints || left < 0 || left%each != 0 || left/each > maxLoads {
		return message{}, errors.Trace(&MessageError{Reason: fmt.Sprintf("%d bytes", len(b))})
	}
	constraints, loads := make([]constraintEntry, count), make([]loadEntry, left/each)
	for _, part := range []any{constraints, loads} {
		if err := binary.Read(r, binary.LittleEndian, part); err != nil {
			return message{}, errors.Trace(&MessageError{Reason: err.Error()})
		}
	}
	for _, e := range constraints {
		c, ok := decodeConstraint(now, e)
		if !ok {
			return message{}, errors.Trace(&MessageError{Reason: fmt.Sprintf("limit %g", e.Limit)})
		}
		m.told.Constraints = append(m.told.Constraints, c)
	}
	for _, e := range loads {
		m.told.Loads = append(m.told.Loads, steer.Report{Target: e.Target, Load: int(e.Load), At: madeAt(now, e.Age)})
	}
	return m, nil
}

// decodeConstraint reads what a target asks for; false if that can't be.
func decodeConstraint(now time.Time, e constraintEntry) (steer.Constraint, bool) {
	r := steer.Constraint{
		Target: e.Target, Limit: e.Limit, Leaving: e.Flags&flagLeaving != 0, Limited: e.Flags&flagLimited != 0, At: madeAt(now, e.Age),
	}
	if e.Started != 0 {
		r.Started = time.UnixMilli(e.Started)
	}
	return r, e.Limit >= 0 && !math.IsInf(e.Limit, 0)
}
