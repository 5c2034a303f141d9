package demo

import (
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/load"
	"github.com/firlever/firlever/pkg/settings"
)

// Shape of the load.
const (
	rampTime           = time.Second // over which the load grows
	nonIdempotentShare = 0.5         // of a service with non-idempotent requests
	nonIdempotentBody  = 512         // bytes of a non-idempotent request's body
	directRate         = 30          // direct calls/s at one place
	directTeam         = "direct"    // marks the streams that leave the instances out
	streamPath         = "/"
	idPrefix           = "demo"
)

// capacity is how many requests/s a site can take.
func capacity(site settings.Site, w Work) float64 {
	return float64(site.Limit) / w.slotTime().Seconds()
}

// oncePath is a path of the service whose POST is not idempotent, if any rule
// declares one.
func oncePath(s settings.Service) (string, bool) {
	for _, r := range s.Rules {
		if !r.Idempotent && (r.Method == "" || r.Method == http.MethodPost) {
			return r.Prefix, true
		}
	}
	return "", false
}

// planner makes the streams of a run.
type planner struct {
	snapshot  *settings.Snapshot
	profile   Profile
	rate      float64
	oncePaths map[settings.ServiceID]string // path of non-idempotent requests
}

// streams are those of all services at all places, each place sending the share
// of what its own sites can take.
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
		s := stream(service, place, rate*nonIdempotentShare, w.Sizes[0])
		s.Method, s.Path, s.Body, s.Idempotent = http.MethodPost, path, nonIdempotentBody, false
		list = append(list, s)
		rate *= 1 - nonIdempotentShare
	}
	for _, size := range w.Sizes {
		list = append(list, stream(service, place, rate/float64(len(w.Sizes)), size))
	}
	return list
}

func stream(service *settings.CompiledService, place string, rate float64, size int64) load.Stream {
	return load.Stream{
		Service: service.ID().String(), Place: place, Rate: rate, Size: size,
		Method: http.MethodGet, Path: streamPath, Idempotent: true, Timeout: service.Timeout(),
	}
}

// directStreams call a target beside the service's own, in the callers' place
// and over the same links, to measure what the instance between adds.
func (p planner) directStreams() []load.Stream {
	service, ok := p.measuredService()
	if !ok {
		return nil
	}
	var list []load.Stream
	for _, place := range service.Places() {
		s := stream(service, place, directRate, p.profile.work(service).Sizes[0])
		s.Service = directName(service.ID())
		list = append(list, s)
	}
	return list
}

func directName(id settings.ServiceID) string { return directTeam + "/" + id.Name }

// measuredService is the service whose added latency is measuredService: the first
// interactive one all of whose requests are idempotent.
func (p planner) measuredService() (*settings.CompiledService, bool) {
	for _, id := range p.snapshot.Services() {
		service, _ := p.snapshot.Service(id)
		if _, nonIdempotent := p.oncePaths[id]; !service.Bulk() && !nonIdempotent {
			return service, true
		}
	}
	return nil, false
}
