package platform

import "strings"

// Routes of the protocol of docs/platform.md.
const (
	RouteEntry     = "/v1/entry"
	RouteEntries   = "/v1/entries"
	RouteLease     = "/v1/lease"
	RouteWatch     = "/v1/watch"
	RouteInstance  = "/v1/instance"
	RouteInstances = "/v1/instances"
)

// Query parameters of the protocol.
const (
	ParamPath    = "path"
	ParamPrefix  = "prefix"
	ParamVersion = "version" // decimal
	ParamAfter   = "after"   // a revision, decimal
	ParamWait    = "wait"    // milliseconds
	ParamHolder  = "holder"
	ParamTTL     = "ttl" // milliseconds
	ParamEpoch   = "epoch"
)

// Code is the kind of a refusal. Each of them says that nothing was changed.
type Code string

// The refusals of the protocol.
const (
	CodeNotFound    Code = "not-found"   // 404
	CodeConflict    Code = "conflict"    // 409, with Entry
	CodeHeld        Code = "held"        // 409, with Holder
	CodeBusy        Code = "busy"        // 429
	CodeTooLarge    Code = "too-large"   // 413, with Size
	CodeInvalid     Code = "invalid"     // 400, with Reason
	CodeUnavailable Code = "unavailable" // 503
)

// MaxPath is the longest path, prefix or holder in bytes.
const MaxPath = 1024

// Refusal is the body of every answer but 200.
type Refusal struct {
	Code   Code   `json:"code"`
	Entry  *Entry `json:"entry,omitempty"`
	Holder string `json:"holder,omitempty"`
	Size   int    `json:"size,omitempty"` // bytes
	Reason string `json:"reason,omitempty"`
}

// WriteAnswer is the body that answers a landed write.
type WriteAnswer struct {
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
}

// EntriesAnswer is the body that answers a list or a watch.
type EntriesAnswer struct {
	Entries  []Entry `json:"entries"`
	Revision uint64  `json:"revision"`
}

// LeaseAnswer is the body that answers an acquired lease.
type LeaseAnswer struct {
	Epoch uint64 `json:"epoch"`
}

// InstancesAnswer is the body that answers the list of instances.
type InstancesAnswer struct {
	Instances []Instance `json:"instances"`
}

// CheckPath returns an *InvalidError if the path can't be one of the platform's.
func CheckPath(call, path string) error {
	switch {
	case !strings.HasPrefix(path, "/"):
		return &InvalidError{Call: call, Reason: "path does not start with /"}
	case len(path) > MaxPath:
		return &InvalidError{Call: call, Reason: "path too long"}
	}
	return nil
}

// CheckValue returns a *TooLargeError if the value is over MaxValue.
func CheckValue(path string, value []byte) error {
	if len(value) > MaxValue {
		return &TooLargeError{Path: path, Size: len(value)}
	}
	return nil
}
