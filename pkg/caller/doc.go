// Package caller is the firlever client for programs that call its services.
//
// A Client starts with the addresses of a few instances. It looks up at one of
// them which instances to use for a service, caches the answer until it expires,
// and sends requests to those instances:
//
//	client, err := caller.New(caller.Config{Entries: []string{"127.0.0.1:7000"}})
//	...
//	req := &caller.Request{Method: "GET", Path: "/robots/17"}
//	resp, err := client.Do(ctx, "robotics/fleetwatch", req)
//	if err != nil {
//		...
//	}
//	defer resp.Body.Close()
//	body, err := io.ReadAll(resp.Body)
//
// Give ctx a deadline: it is sent to the target with the request, and no attempt
// is made after it.
//
// # Outcomes
//
// OutcomeOf(err) returns the outcome of a request:
//
//   - Answered: Do returned a Response, whatever its status. Reading its body
//     ends with io.EOF only when the body is complete; a truncated body ends with
//     an *IncompleteError.
//   - NotRun: the error is a *NotRunError. No target started the request; it may
//     be sent again at any time, preferably from RetryAt on.
//   - Unknown: the error is an *UnknownError. The request may have run.
//
// # Requests that must not run twice
//
// GET, HEAD and OPTIONS requests count as idempotent, as does a Request with
// Idempotent set; Once marks a request as not idempotent. Set both according to
// the rules of the service. Any other request gets an idempotency key. The
// instance that issued the key, its home, runs the request at most once. When the
// outcome is unknown, send the request again with the key of the error to obtain
// the outcome:
//
//	var unknown *caller.UnknownError
//	if errors.As(err, &unknown) {
//		req.Key = unknown.Key
//		resp, err = client.Do(ctx, "payments/lodge-pay", req)
//	}
//
// The client never sends such a request with another key on its own. Sending it
// again without the key allows it to run twice.
//
// # Fail-over
//
// An idempotent request is sent to the next instance when one fails, up to
// Config.Attempts times and within a budget that keeps retries from amplifying an
// outage. A refusal that names a time for a retry is returned at once. While no
// instance answers lookups, the client goes on using the last answer.
package caller
