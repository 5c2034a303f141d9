// Package caller is the client of firlever for programs that use its services.
//
// A Client knows a few instances to begin with. It asks one of them which
// instances to use for a service, keeps that answer until its deadline, and
// sends requests there:
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
// Give ctx a deadline: it goes with the request to the target, and nothing is
// tried past it.
//
// # Outcomes
//
// OutcomeOf(err) says what became of a request:
//
//   - Answered: Do returned a Response, whatever its status. Reading its body
//     ends with io.EOF only when the answer is whole; a body that is cut short
//     ends with an *IncompleteError.
//   - NotRun: the error is a *NotRunError. No target began the request; it may
//     be sent again at any time, best from RetryAt on.
//   - Unknown: the error is an *UnknownError. The request may have run.
//
// # Requests that must not run twice
//
// GET, HEAD and OPTIONS are taken as idempotent, as is a Request with Idempotent
// set; Once says the opposite. Both follow the rules of the service.
// Any other request gets an idempotency key, which its home, one instance, lets
// run at most once. When the outcome is unknown, send the request again with the
// key of the error, to learn what became of it:
//
//	var unknown *caller.UnknownError
//	if errors.As(err, &unknown) {
//		req.Key = unknown.Key
//		resp, err = client.Do(ctx, "payments/lodge-pay", req)
//	}
//
// The client never sends such a request with another key by itself. To leave out
// the key is to say that running it twice is right.
//
// # Fail-over
//
// An idempotent request goes to the next instance when one fails, up to
// Config.Attempts and within a budget that keeps retries from amplifying an
// outage. A refusal that names a time to come back is returned at once. When no
// instance answers look-ups, the last answer goes on being used.
package caller
