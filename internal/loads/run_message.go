package loads

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/firlever/firlever/internal/steer"
	"github.com/firlever/firlever/internal/workingset"
)

const (
	// maxReported is how many runs a message holds at most: 6 KB. There is one message a second.
	maxReported = 256
	// maxReportedServices is how many services a message holds at most.
	maxReportedServices = 64
	// maxRunBytes bounds what is read of a message: somewhat more than its largest size.
	maxRunBytes = 10 << 10
)

// reportEntry is the encoding of a report without its runs.
type reportEntry struct {
	Service    uint64
	Runs       uint16 // number of runEntries that follow
	Complete   uint8
	Confidence uint8 // in 255ths
	Keeps      uint16
	ColdFactor float32
	Lifetime   uint32 // in milliseconds
	Repeats    float32
	Age        uint32 // in milliseconds
}

// runEntry is the encoding of a run: 24 bytes.
type runEntry struct {
	Target uint64
	Object uint64
	Kind   uint32
	Took   uint16 // in milliseconds; 0 if not known
	Age    uint16 // in milliseconds
}

// encodeRuns encodes reports.
func encodeRuns(now time.Time, reports []steer.KeptReport) ([]byte, error) {
	var b bytes.Buffer
	for _, r := range reports {
		e := &r.Estimate
		entry := reportEntry{
			Service: r.Service, Runs: uint16(len(r.Runs)), Complete: uint8(r.Complete), Confidence: uint8(255 * e.Confidence), Keeps: clamp(int64(e.Keeps)),
			ColdFactor: float32(e.ColdFactor), Lifetime: clampLong(e.Lifetime), Repeats: float32(e.Repeats), Age: clampLong(now.Sub(e.At)),
		}
		runs := make([]runEntry, 0, len(r.Runs))
		for _, run := range r.Runs {
			runs = append(runs, runEntry{Target: run.Target, Object: run.Object, Kind: run.Kind, Took: clamp(run.Took.Milliseconds()), Age: age(now, run.At)})
		}
		for _, part := range []any{entry, runs} {
			if err := binary.Write(&b, binary.LittleEndian, part); err != nil {
				return nil, errors.Trace(err)
			}
		}
	}
	return b.Bytes(), nil
}

// clampLong returns a duration in milliseconds, limited to the range of an entry's field.
func clampLong(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// decodeRuns decodes reports that were received at now. It returns a *MessageError. Whether the
// values are possible is for the learner to check.
func decodeRuns(now time.Time, b []byte) ([]steer.KeptReport, error) {
	var reports []steer.KeptReport
	left, r := maxReported, bytes.NewReader(b)
	for r.Len() > 0 {
		var e reportEntry
		if err := binary.Read(r, binary.LittleEndian, &e); err != nil {
			return nil, errors.Trace(&MessageError{Reason: err.Error()})
		}
		if left -= int(e.Runs); left < 0 || len(reports) == maxReportedServices {
			return nil, errors.Trace(&MessageError{Reason: fmt.Sprintf("more than %d runs or %d services", maxReported, maxReportedServices)})
		}
		entries := make([]runEntry, e.Runs)
		if err := binary.Read(r, binary.LittleEndian, entries); err != nil {
			return nil, errors.Trace(&MessageError{Reason: err.Error()})
		}
		s := steer.KeptReport{Service: e.Service, Report: workingset.Report{Complete: int(e.Complete), Estimate: workingset.Estimate{
			Keeps: int(e.Keeps), ColdFactor: float64(e.ColdFactor), Lifetime: time.Duration(e.Lifetime) * time.Millisecond,
			Confidence: float64(e.Confidence) / 255, Repeats: float64(e.Repeats), At: now.Add(-time.Duration(e.Age) * time.Millisecond),
		}}}
		for _, run := range entries {
			s.Runs = append(s.Runs, workingset.Run{
				Target: run.Target, Object: run.Object, Kind: run.Kind, Took: time.Duration(run.Took) * time.Millisecond, At: madeAt(now, run.Age),
			})
		}
		reports = append(reports, s)
	}
	return reports, nil
}
