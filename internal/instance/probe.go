package instance

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/firlever/firlever/internal/callers"
	"github.com/firlever/firlever/internal/core"
)

const (
	probeTimeout = 500 * time.Millisecond
	probeWorkers = 4       // probes in flight at one time
	maxLoad      = 4 << 10 // most bytes of a load report that are read
)

// loadReport is a target's report about itself.
type loadReport struct {
	Slots int `json:"slots"`
	Busy  int `json:"busy"`
}

// probe sends the node's probes, up to probeWorkers at a time.
func (in *Instance) probe(ctx context.Context) {
	done := make(chan struct{})
	for range probeWorkers {
		go func() {
			defer func() { done <- struct{}{} }()
			in.probeWorker(ctx)
		}()
	}
	for range probeWorkers {
		<-done
	}
}

func (in *Instance) probeWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-in.probes:
			in.dispatcher.Step(in.probeOnce(ctx, p))
		}
	}
}

// probeOnce sends a health check to a target and, if it is answered, requests its load
// report. If the probe's NewConnection is set, it first opens a new connection: a refused one shows
// that the target's process has ended, which kept connections may not show.
func (in *Instance) probeOnce(ctx context.Context, p core.Probe) core.Probed {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	got := core.Probed{Target: p.Target, Sent: p.Sent, Check: p.Check}
	if p.NewConnection {
		err := in.client.CheckConnection(ctx, p.Address)
		got.Connected, got.Refused = err == nil, errors.Is(err, syscall.ECONNREFUSED)
		if got.Refused || err != nil && p.Check {
			got.Err = true
			return got
		}
	}
	health, err := in.get(ctx, p.Address, "/health")
	if err != nil {
		got.Err = true
		return got
	}
	health.Body.Close()
	in.dispatcher.Step(callers.ReadNotice(p.Target, p.Sent, health))
	got.Healthy = health.StatusCode == http.StatusOK
	resp, err := in.get(ctx, p.Address, "/load")
	if err != nil {
		return got
	}
	defer resp.Body.Close()
	var l loadReport
	if json.NewDecoder(io.LimitReader(resp.Body, maxLoad)).Decode(&l) == nil {
		got.Slots, got.Busy = l.Slots, l.Busy
	}
	return got
}

func (in *Instance) get(ctx context.Context, address, path string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	r.Header["User-Agent"] = nil // keeps the transport from adding its own
	return in.client.Send(ctx, r, nil)
}
