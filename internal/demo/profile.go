package demo

import (
	"time"

	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/pkg/settings"
)

// Profile describes what the documents of a deployment don't contain: its network,
// its size and the service times of its targets. The latencies and sizes were given
// by the users. The service times are assumed, and long enough for one machine to
// send a load of half the capacity.
type Profile struct {
	Latency        link.Latency
	ConnectionCost time.Duration // cost of a new connection to a target
	ProbeCost      time.Duration // cost of one health or load answer
	Instances      int
	Work           map[string]Work // by the service's name
}

// Work describes the cost of one request of a service at its target.
type Work struct {
	MeanServiceTime time.Duration // mean service time of a warm target, without sending the body
	AnswerSizes     []int64       // sizes of answers in bytes; requests are divided equally among them
	Pace            int64         // bytes/s of one answer; 0 sets no limit
}

// slotTime returns how long an average request occupies a slot.
func (w Work) slotTime() time.Duration {
	if w.Pace == 0 {
		return w.MeanServiceTime
	}
	var sum int64
	for _, n := range w.AnswerSizes {
		sum += n
	}
	mean := float64(sum) / float64(len(w.AnswerSizes))
	return w.MeanServiceTime + time.Duration(mean/float64(w.Pace)*float64(time.Second))
}

// Sizes of answers in bytes.
var (
	smallAnswers = []int64{256}
	largeAnswers = []int64{256 << 10, 512 << 10, 1 << 20}
)

// bulkRate is the rate at which a target sends one bulk answer, in bytes/s.
const bulkRate = 4 << 20

// profiles holds the profiles of the users' deployments.
var profiles = []Profile{
	{
		Latency:        link.Latency{Region: 1500 * time.Microsecond, InterRegion: 20 * time.Millisecond, Caller: time.Millisecond},
		ConnectionCost: time.Millisecond,
		Instances:      10,
		Work: map[string]Work{
			"fleetwatch": {MeanServiceTime: 30 * time.Millisecond, AnswerSizes: smallAnswers},
			"runorder":   {MeanServiceTime: 45 * time.Millisecond, AnswerSizes: smallAnswers},
			"chartstore": {MeanServiceTime: 40 * time.Millisecond, AnswerSizes: largeAnswers, Pace: bulkRate},
		},
	},
	{
		Latency:        link.Latency{Region: time.Millisecond, InterRegion: 12 * time.Millisecond, Caller: 3 * time.Millisecond},
		ConnectionCost: time.Millisecond,
		ProbeCost:      6 * time.Millisecond,
		Instances:      9,
		Work: map[string]Work{
			"ledger-view":  {MeanServiceTime: 20 * time.Millisecond, AnswerSizes: smallAnswers},
			"lodge-pay":    {MeanServiceTime: 40 * time.Millisecond, AnswerSizes: smallAnswers},
			"bundle-serve": {MeanServiceTime: 40 * time.Millisecond, AnswerSizes: largeAnswers, Pace: bulkRate},
		},
	},
}

// profileFor returns the first profile that contains one of the services. For
// other deployments it returns the first profile.
func profileFor(s *settings.Snapshot) Profile {
	for _, p := range profiles {
		for _, id := range s.Services() {
			if _, ok := p.Work[id.Name]; ok {
				return p
			}
		}
	}
	return profiles[0]
}

// work returns the cost of a service's requests. For a service that isn't in the
// profile, the cost depends on its class alone.
func (p Profile) work(service *settings.CompiledService) Work {
	if w, ok := p.Work[service.ID().Name]; ok {
		return w
	}
	if service.Bulk() {
		return Work{MeanServiceTime: 40 * time.Millisecond, AnswerSizes: largeAnswers, Pace: bulkRate}
	}
	return Work{MeanServiceTime: 10 * time.Millisecond, AnswerSizes: smallAnswers}
}
