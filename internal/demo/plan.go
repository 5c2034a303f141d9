package demo

import (
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/load"
	"github.com/firlever/firlever/pkg/settings"
)

// Parameters of the load.
const (
	rampTime           = time.Second // time in which the load grows to its full rate
	nonIdempotentShare = 0.5         // of the requests of a service that has a non-idempotent path
	nonIdempotentBody  = 512         // size of a non-idempotent request's body, in bytes
	directRate         = 30          // direct calls/s at one place
	directTeam         = "direct"    // team in the service names of streams that bypass the instances
	streamPath         = "/"
	idPrefix           = "demo"
)

// capacity returns the number of requests/s that a site can serve.
func capacity(site settings.Site, w Work) float64 {
	return float64(site.Limit) / w.slotTime().Seconds()
}

// oncePath returns the path prefix of the first rule that declares POST requests
// non-idempotent. The bool is false if there is none.
func oncePath(s settings.Service) (string, bool) {
	for _, r := range s.Rules {
		if !r.Idempotent && (r.Method == "" || r.Method == http.MethodPost) {
			return r.Prefix, true
		}
	}
	return "", false
}

// planner computes the request streams of a run.
type planner struct {
	snapshot  *settings.Snapshot
	profile   Profile
	rate      float64                       // load as a fraction of the sites' capacity
	oncePaths map[settings.ServiceID]string // path of non-idempotent requests, by service
}

// streams returns the streams of all services at all places, and the direct ones.
// The rate at a place is a fraction of the capacity of its own sites.
func (p planner) streams() []load.Stream {
	var list []load.Stream
	for _, id := range p.snapshot.Services() {
		service, _ := p.snapshot.Service(id)
		for _, place := range service.Places() {
			site, _ := service.Site(place)
			list = append(list, p.siteStreams(service, place, site)...)
		}
	}
	return append(list, p.directStreams()...)
}

func (p planner) siteStreams(service *settings.CompiledService, place string, site settings.Site) []load.Stream {
	w := p.profile.work(service)
	rate := p.rate * capacity(site, w)
	if rate <= 0 {
		return nil
	}
	var list []load.Stream
	path, nonIdempotent := p.oncePaths[service.ID()]
	if nonIdempotent {
		s := stream(service, place, rate*nonIdempotentShare, w.AnswerSizes[0])
		s.Method, s.Path, s.Body, s.Idempotent = http.MethodPost, path, nonIdempotentBody, false
		list = append(list, s)
		rate *= 1 - nonIdempotentShare
	}
	for _, size := range w.AnswerSizes {
		list = append(list, stream(service, place, rate/float64(len(w.AnswerSizes)), size))
	}
	return list
}

func stream(service *settings.CompiledService, place string, rate float64, size int64) load.Stream {
	return load.Stream{
		Service: service.ID().String(), Place: place, Rate: rate, Size: size,
		Method: http.MethodGet, Path: streamPath, Idempotent: true, Timeout: service.Timeout(),
	}
}

// directStreams returns streams that call, without an instance, a separate target
// in the callers' place over the same links. They are the baseline for the latency
// that an instance adds.
func (p planner) directStreams() []load.Stream {
	service, ok := p.measuredService()
	if !ok {
		return nil
	}
	var list []load.Stream
	for _, place := range service.Places() {
		s := stream(service, place, directRate, p.profile.work(service).AnswerSizes[0])
		s.Service = directName(service.ID())
		list = append(list, s)
	}
	return list
}

func directName(id settings.ServiceID) string { return directTeam + "/" + id.Name }

// measuredService returns the service whose added latency is measured: the first
// interactive one with only idempotent requests. The bool is false if there is
// none.
func (p planner) measuredService() (*settings.CompiledService, bool) {
	for _, id := range p.snapshot.Services() {
		service, _ := p.snapshot.Service(id)
		if _, nonIdempotent := p.oncePaths[id]; !service.Bulk() && !nonIdempotent {
			return service, true
		}
	}
	return nil, false
}
