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

// maxLoads is how many load reports a message holds at most: 12 KB. 8 instances of today's sizes
// receive reports from fewer targets in a second; 65 of them receive 250 in half a second.
// maxConstraints is how many constraint reports it holds at most: 14 KB.
const (
	maxLoads       = 1024
	maxConstraints = 512
)

// head is the head of a message in either direction.
type head struct {
	From        uint64 // hash of the sender's name
	Run         uint64 // identifies the process that collects; 0 if not known
	Loads       uint64 // sequence number of the newest known load report, assigned by the collector
	Constraints uint64 // the same for constraint reports
}

// loadEntry is the encoding of a load report, of fixed size: 12 bytes, where text takes 60.
type loadEntry struct {
	Target uint64
	Load   uint16
	Age    uint16 // age when the message was encoded, in milliseconds
}

// constraintEntry is the encoding of a constraint report, of fixed size: 27 bytes.
type constraintEntry struct {
	Target  uint64
	Started int64 // in Unix milliseconds; 0 if not known
	Limit   float64
	Flags   uint8
	Age     uint16
}

// Flags of a constraintEntry.
const (
	flagLeaving = 1 << iota
	flagLimited
)

// message is a message between two instances: a head, the number of constraintEntries, the
// constraintEntries, and loadEntries up to its end.
type message struct {
	head
	reports steer.TargetReports
}

// MessageError is returned for a message that can't be decoded.
type MessageError struct{ Reason string }

func (e *MessageError) Error() string { return "loads: message: " + e.Reason }

// encode encodes a message. Reports beyond the maximum numbers are left out.
func (m message) encode(now time.Time) ([]byte, error) {
	constraints := make([]constraintEntry, 0, len(m.reports.Constraints))
	for _, r := range m.reports.Constraints[:min(len(m.reports.Constraints), maxConstraints)] {
		constraints = append(constraints, encodeConstraint(now, r))
	}
	loads := make([]loadEntry, 0, len(m.reports.Loads))
	for _, r := range m.reports.Loads[:min(len(m.reports.Loads), maxLoads)] {
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
	if r.HasLimit {
		e.Flags |= flagLimited
	}
	return e
}

// clamp limits a count to the range of an entry's field.
func clamp(n int64) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// age returns the age of a report in whole milliseconds plus one, so that it never appears younger
// than it is.
func age(now, at time.Time) uint16 { return clamp(now.Sub(at).Milliseconds() + 1) }

// madeAt returns when a report of an age was made.
func madeAt(now time.Time, age uint16) time.Time {
	return now.Add(-time.Duration(age) * time.Millisecond)
}

// decode decodes a message that was received at now. It returns a *MessageError.
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
		m.reports.Constraints = append(m.reports.Constraints, c)
	}
	for _, e := range loads {
		m.reports.Loads = append(m.reports.Loads, steer.LoadReport{Target: e.Target, Load: int(e.Load), At: madeAt(now, e.Age)})
	}
	return m, nil
}

// decodeConstraint decodes a constraint report; false if its limit is invalid.
func decodeConstraint(now time.Time, e constraintEntry) (steer.Constraint, bool) {
	r := steer.Constraint{
		Target: e.Target, Limit: e.Limit, Leaving: e.Flags&flagLeaving != 0, HasLimit: e.Flags&flagLimited != 0, At: madeAt(now, e.Age),
	}
	if e.Started != 0 {
		r.Started = time.UnixMilli(e.Started)
	}
	return r, e.Limit >= 0 && !math.IsInf(e.Limit, 0)
}
