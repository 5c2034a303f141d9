package demo

import (
	"time"

	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/pkg/settings"
)

// Profile is what a deployment's documents don't tell: its network, its size
// and how long its targets take. The latencies and sizes are the users' own,
// the service times are ours: so long that half of the capacity is a load which
// one machine can send.
type Profile struct {
	Latency    link.Latency
	Connection time.Duration // of a new connection to a target
	Probe      time.Duration // of one health or load answer
	Instances  int
	Work       map[string]Work // by the service's name
}

// Work is what one request of a service costs its target.
type Work struct {
	Mean  time.Duration // service time when warm, without the body
	Sizes []int64       // bytes of answers, drawn evenly
	Pace  int64         // bytes/s of one answer; 0 sets no limit
}

// slotTime is how long an average request keeps a slotTime.
func (w Work) slotTime() time.Duration {
	if w.Pace == 0 {
		return w.Mean
	}
	var sum int64
	for _, n := range w.Sizes {
		sum += n
	}
	mean := float64(sum) / float64(len(w.Sizes))
	return w.Mean + time.Duration(mean/float64(w.Pace)*float64(time.Second))
}

var (
	smallAnswers = []int64{256}
	largeAnswers = []int64{256 << 10, 512 << 10, 1 << 20}
)

// bulkRate is how fast a target sends one bulk answer, in bytes/s.
const bulkRate = 4 << 20

// profiles are those of the users' deployments.
var profiles = []Profile{
	{
		Latency:    link.Latency{Region: 1500 * time.Microsecond, World: 20 * time.Millisecond, Caller: time.Millisecond},
		Connection: time.Millisecond,
		Instances:  10,
		Work: map[string]Work{
			"fleetwatch": {Mean: 30 * time.Millisecond, Sizes: smallAnswers},
			"runorder":   {Mean: 45 * time.Millisecond, Sizes: smallAnswers},
			"chartstore": {Mean: 40 * time.Millisecond, Sizes: largeAnswers, Pace: bulkRate},
		},
	},
	{
		Latency:    link.Latency{Region: time.Millisecond, World: 12 * time.Millisecond, Caller: 3 * time.Millisecond},
		Connection: time.Millisecond,
		Probe:      6 * time.Millisecond,
		Instances:  9,
		Work: map[string]Work{
			"ledger-view":  {Mean: 20 * time.Millisecond, Sizes: smallAnswers},
			"lodge-pay":    {Mean: 40 * time.Millisecond, Sizes: smallAnswers},
			"bundle-serve": {Mean: 40 * time.Millisecond, Sizes: largeAnswers, Pace: bulkRate},
		},
	},
}

// profileFor finds the profile that knows one of the services; the first one
// serves for documents of nobody we know.
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

// work is what a service's requests cost; unknown ones go by their class.
func (p Profile) work(service *settings.CompiledService) Work {
	if w, ok := p.Work[service.ID().Name]; ok {
		return w
	}
	if service.Bulk() {
		return Work{Mean: 40 * time.Millisecond, Sizes: largeAnswers, Pace: bulkRate}
	}
	return Work{Mean: 10 * time.Millisecond, Sizes: smallAnswers}
}
