package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms hold microseconds up to ten minutes, to three significant digits.
const (
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// stats collects the results by service.
type stats struct {
	byService map[string]*serviceStats // not changed after newStats
}

// serviceStats collects the results of one service.
type serviceStats struct {
	mu           sync.Mutex
	counts       Counts
	latency      *hdrhistogram.Histogram // latencies of answered requests, in µs
	reasons      map[Reason]uint64
	places       map[string]uint64 // answered requests by the place that served them
	wrongAnswers []string          // descriptions of the first wrong answers
}

// maxExamples is how many wrong answers of a service are described in the report.
const maxExamples = 5

func newStats(streams []Stream) *stats {
	t := &stats{byService: map[string]*serviceStats{}}
	for _, s := range streams {
		t.byService[s.Service] = &serviceStats{
			latency: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
			reasons: map[Reason]uint64{},
			places:  map[string]uint64{},
		}
	}
	return t
}

func (t *stats) record(service string, r Result, took time.Duration) {
	s := t.byService[service]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.add(r)
	if r.Wrong != nil && len(s.wrongAnswers) < maxExamples {
		s.wrongAnswers = append(s.wrongAnswers, r.Wrong.Error())
	}
	if r.Outcome != Answered {
		s.reasons[Reason{Outcome: r.Outcome, Text: r.Reason}]++
		return
	}
	us := min(max(took, time.Microsecond), maxLatency).Microseconds()
	_ = s.latency.RecordValue(us) // in range, so it can't fail
	if r.Place != "" {
		s.places[r.Place]++
	}
}

// report returns the report of a run. It must be called after the last record.
func (t *stats) report(sent time.Duration, delayed, unsent uint64) *Report {
	r := &Report{Seconds: sent.Seconds(), Held: delayed, Unsent: unsent}
	for name, s := range t.byService {
		r.Services = append(r.Services, s.report(name))
		r.Counts.sum(s.counts)
	}
	slices.SortFunc(r.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return r
}

func (s *serviceStats) report(name string) Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Service{
		Name:   name,
		Counts: s.counts,
		P50:    s.quantile(50),
		P99:    s.quantile(99),
		P999:   s.quantile(99.9),
		Max:    millis(s.latency.Max()),
		Wrongs: s.wrongAnswers,
	}
	for reason, n := range s.reasons {
		reason.Count = n
		r.Errors = append(r.Errors, reason)
	}
	slices.SortFunc(r.Errors, func(a, b Reason) int {
		return cmp.Or(cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Text, b.Text))
	})
	for place, n := range s.places {
		r.Places = append(r.Places, Place{Name: place, Answered: n})
	}
	slices.SortFunc(r.Places, func(a, b Place) int { return cmp.Compare(a.Name, b.Name) })
	return r
}

func (s *serviceStats) quantile(q float64) float64 { return millis(s.latency.ValueAtQuantile(q)) }

func millis(us int64) float64 { return float64(us) / 1000 }
