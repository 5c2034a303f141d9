package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	jujuerrors "github.com/juju/errors"

	"github.com/firlever/firlever/internal/emulator/link"
	"github.com/firlever/firlever/internal/emulator/target"
	"github.com/firlever/firlever/internal/invariant"
	"github.com/firlever/firlever/internal/load"
	"github.com/firlever/firlever/pkg/caller"
)

// Headers, reasons and limits of the callers.
const (
	headerRequest     = "Firlever-Request"
	headerTimeout     = "Firlever-Timeout"
	idlePerTarget     = 64
	reasonIncomplete  = "cut-short"
	slowAnswer        = 500 * time.Millisecond // an answer that takes longer is logged
	outcomeTries      = 3                      // attempts to obtain an unknown outcome
	outcomeRetryDelay = 200 * time.Millisecond // between these attempts, unless the error gives a time
)

// callers sends the requests of a run, each from its home place.
type callers struct {
	f                *fleet
	clients          map[string]*caller.Client  // by home place
	directTransports map[string]*http.Transport // by home place
}

func newCallers(f *fleet) (*callers, error) {
	addresses, err := homeAddresses(f.snapshot)
	if err != nil {
		return nil, err
	}
	c := &callers{f: f, clients: make(map[string]*caller.Client), directTransports: make(map[string]*http.Transport)}
	for i, place := range f.snapshot.Places() {
		dial := f.dialerOf(place, addresses[place])
		cfg := caller.Config{Entries: f.instances.callerAddresses(place), Dial: dial, Seed: f.cfg.Seed + uint64(i)}
		if c.clients[place], err = caller.New(cfg); err != nil {
			return nil, jujuerrors.Annotate(err, "demo.newCallers")
		}
		c.directTransports[place] = &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idlePerTarget, DisableCompression: true}
	}
	return c, nil
}

// dialerOf returns a dial function for callers whose home is the given place.
// If address is a loopback address, connections are opened from it.
func (f *fleet) dialerOf(place, address string) func(context.Context, string, string) (net.Conn, error) {
	var local net.Addr
	if ip := net.ParseIP(address); ip != nil && ip.IsLoopback() {
		local = &net.TCPAddr{IP: ip}
	}
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		return f.links.DialFrom(ctx, local, link.CallerAt(place), f.directory.locate(to), to)
	}
}

func (c *callers) close() {
	for _, client := range c.clients {
		client.Close()
	}
	for _, t := range c.directTransports {
		t.CloseIdleConnections()
	}
}

// do sends one request, verifies its answer and records the result in the journal.
func (c *callers) do(ctx context.Context, r load.Request) load.Result {
	if strings.HasPrefix(r.Service, directTeam+"/") {
		return c.callDirect(ctx, r)
	}
	if !r.Idempotent {
		c.f.journal.RequireAtMostOnce(r.ID)
	}
	result := c.call(ctx, r)
	c.log(r, result)
	if result.Outcome == load.Refused {
		c.f.journal.RecordRefusal(r.ID)
	}
	if result.Outcome == load.Answered {
		c.f.observerChecks.Check(invariant.WholeAnswer, result.Wrong == nil, func() string { return result.Wrong.Error() })
	}
	return result
}

// log logs a request that failed or was slow.
func (c *callers) log(r load.Request, result load.Result) {
	took := time.Since(r.Due)
	if c.f.cfg.Log == nil || result.Outcome == load.Answered && took < slowAnswer {
		return
	}
	c.f.cfg.Log.Warn("caller", "request", r.ID, "service", r.Service, "home", r.Place,
		"outcome", result.Outcome, "reason", result.Reason, "took", took)
}

func (c *callers) call(ctx context.Context, r load.Request) load.Result {
	req := &caller.Request{
		Method: r.Method, Path: pathOf(r), Idempotent: r.Idempotent, Once: !r.Idempotent,
		Header: http.Header{headerRequest: {r.ID}},
	}
	if r.Body > 0 {
		req.SetBytes(make([]byte, r.Body))
	}
	var result load.Result
	incomplete := false // an answer was truncated: the request has run, even if its retry is refused
	for range outcomeTries {
		resp, err := c.clients[r.Place].Do(ctx, r.Service, req)
		if err == nil {
			result = readAnswer(r, resp.Status, resp.Body)
			resp.Body.Close()
			if result.Reason == reasonIncomplete && r.Idempotent && ctx.Err() == nil {
				incomplete = true
				continue
			}
			return result
		}
		result = failureResult(err)
		if incomplete && result.Outcome == load.Refused {
			result.Outcome = load.Unknown
		}
		var unknown *caller.UnknownError
		if !errors.As(err, &unknown) || r.Idempotent || !waitForRetry(ctx, unknown.RetryAt) {
			return result
		}
		req.Key = unknown.Key
	}
	return result
}

// waitForRetry waits until an unknown outcome may be requested again. It returns
// false if ctx ends first.
func waitForRetry(ctx context.Context, until time.Time) bool {
	if until.IsZero() {
		until = time.Now().Add(outcomeRetryDelay)
	}
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func failureResult(err error) load.Result {
	var notRun *caller.NotRunError
	var unknown *caller.UnknownError
	switch {
	case errors.As(err, &notRun):
		return load.Result{Outcome: load.Refused, Reason: notRun.Reason}
	case errors.As(err, &unknown) && errors.Is(err, context.Canceled):
		// The client gave up on an instance halfway to the deadline; no connection failed.
		return load.Result{Outcome: load.Unknown, Reason: caller.ReasonTimeout}
	case errors.As(err, &unknown):
		return load.Result{Outcome: load.Unknown, Reason: unknown.Reason}
	}
	return load.Result{Outcome: load.Unknown, Reason: "error"}
}

// readAnswer verifies an answer. One that ends with a *caller.IncompleteError isn't
// wrong: the truncation was reported, and the outcome is unknown.
func readAnswer(r load.Request, status int, body io.Reader) load.Result {
	if status != http.StatusOK {
		return load.Result{Outcome: load.Unknown, Reason: "status-" + strconv.Itoa(status)}
	}
	err := target.VerifyAnswer(r.ID, body)
	var incomplete *caller.IncompleteError
	switch {
	case errors.As(err, &incomplete) && errors.Is(err, context.DeadlineExceeded):
		// The caller's own deadline passed while the answer was read; no connection failed.
		return load.Result{Outcome: load.Unknown, Reason: caller.ReasonTimeout}
	case errors.As(err, &incomplete):
		return load.Result{Outcome: load.Unknown, Reason: reasonIncomplete}
	}
	return load.Result{Outcome: load.Answered, Wrong: err}
}

func pathOf(r load.Request) string { return fmt.Sprintf("%s?size=%d", r.Path, r.Size) }

// callDirect calls a target directly, not through an instance.
func (c *callers) callDirect(ctx context.Context, r load.Request) load.Result {
	url := "http://" + c.f.directTargets[r.Place] + pathOf(r)
	req, err := http.NewRequestWithContext(ctx, r.Method, url, nil)
	if err != nil {
		return load.Result{Outcome: load.Refused, Reason: "request"}
	}
	req.Header.Set(headerRequest, r.ID)
	req.Header.Set(headerTimeout, strconv.FormatInt(time.Until(r.Deadline).Milliseconds(), 10))
	resp, err := c.directTransports[r.Place].RoundTrip(req)
	if err != nil {
		return load.Result{Outcome: load.Unknown, Reason: "direct"}
	}
	defer resp.Body.Close()
	return readAnswer(r, resp.StatusCode, resp.Body)
}
