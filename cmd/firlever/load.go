package main

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/firlever/firlever/internal/load"
	"github.com/firlever/firlever/pkg/caller"
	"github.com/firlever/firlever/pkg/settings"
)

const loadHelp = `Send requests at random times with a constant mean rate, whether or not earlier
ones have been answered, and report latency from the intended start.

GET, HEAD and OPTIONS are assumed to be idempotent. Requests of other methods get
an idempotency key each, unless --idempotent is given. All requests are really
sent: don't POST to a service in production.`

const loadExample = `  firlever load payments/ledger-view --rate 200 --for 30s --path /dues/31
  firlever load payments/lodge-pay --method POST --body 300 --rate 20 --json`

// maxStreams is the largest number of services that one run sends requests to.
const maxStreams = 64

// loadOptions are the flags of the load command.
type loadOptions struct {
	entries []string
	stream  load.Stream // template for each service; Service is empty
	plan    load.Plan   // without Streams, which are made from the template
	json    bool
}

func newLoadCommand() *cobra.Command {
	var o loadOptions
	cmd := &cobra.Command{
		Use:     "load TEAM/SERVICE...",
		Short:   "Send load to services and report latency",
		Long:    loadHelp,
		Example: loadExample,
		Args:    rangeArgs(1, maxStreams),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runLoad(cmd, o, args)
		},
	}
	o.addFlags(cmd)
	return cmd
}

func (o *loadOptions) addFlags(cmd *cobra.Command) {
	f := cmd.Flags()
	addEntriesFlag(cmd, &o.entries)
	f.Float64Var(&o.stream.Rate, "rate", 10, "requests/s for each service")
	f.StringVar(&o.stream.Method, "method", http.MethodGet, "method of the requests")
	f.StringVar(&o.stream.Path, "path", "/", "path below the service")
	f.Int64Var(&o.stream.Body, "body", 0, "bytes of each request's body")
	f.BoolVar(&o.stream.Idempotent, "idempotent", false, "requests may run twice, whatever their method")
	f.DurationVar(&o.stream.Timeout, "timeout", 5*time.Second, "timeout of each request, from its intended start")
	f.DurationVar(&o.plan.For, "for", 10*time.Second, "how long to send requests")
	f.DurationVar(&o.plan.Ramp, "ramp", 0, "time over which the rates grow from 0, part of --for")
	f.Uint64Var(&o.plan.Seed, "seed", 1, "seed of the send times; the same seed sends at the same times")
	f.IntVar(&o.plan.InFlight, "in-flight", 4096, "most requests in flight")
	addJSONFlag(cmd, &o.json)
}

func runLoad(cmd *cobra.Command, o loadOptions, services []string) error {
	for _, s := range services {
		if _, err := settings.ParseServiceID(s); err != nil {
			return err
		}
		stream := o.stream
		stream.Service = s
		o.plan.Streams = append(o.plan.Streams, stream)
	}
	o.plan.Prefix = "load-" + rand.Text()
	client, err := caller.New(caller.Config{Entries: o.entries})
	if err != nil {
		return err
	}
	defer client.Close()
	report, err := load.Run(cmd.Context(), o.plan, newSender(client, o.stream.Body))
	if err != nil {
		return err
	}
	if o.json {
		return report.WriteJSON(cmd.OutOrStdout())
	}
	return report.WriteTable(cmd.OutOrStdout())
}

// newSender returns a function that sends a request with a body of size bytes through the
// client. It reads each answer to its end and discards its content.
func newSender(client *caller.Client, size int64) load.Do {
	body := make([]byte, size)
	return func(ctx context.Context, r load.Request) load.Result {
		req := &caller.Request{
			Method:     r.Method,
			Path:       r.Path,
			Header:     http.Header{"Firlever-Request": {r.ID}},
			Idempotent: r.Idempotent,
		}
		req.SetBytes(body)
		resp, err := client.Do(ctx, r.Service, req)
		if err != nil {
			return failedResult(err)
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return load.Result{Outcome: load.Unknown, Reason: "cut-short"}
		}
		return load.Result{Outcome: load.Answered}
	}
}

func failedResult(err error) load.Result {
	var notRun *caller.NotRunError
	var unknown *caller.UnknownError
	switch {
	case errors.As(err, &notRun):
		return load.Result{Outcome: load.Refused, Reason: notRun.Reason}
	case errors.As(err, &unknown):
		return load.Result{Outcome: load.Unknown, Reason: unknown.Reason}
	}
	return load.Result{Outcome: load.Unknown, Reason: "other"}
}
