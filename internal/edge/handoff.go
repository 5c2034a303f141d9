package edge

import (
	"encoding/json"
	"net/http"
)

// headerHandOff carries a handOffRequest to the peer and a handOffAnswer back, as JSON.
const headerHandOff = "Firlever-Hand-Off"

// handOffRequest is what the instance that hands a request off says of it.
type handOffRequest struct {
	From     string   `json:"from"`
	Config   uint64   `json:"config"`   // lowest version of the configuration by which the request may be handled
	Attempts int      `json:"attempts"` // attempts at targets so far; part of the route's maximum
	Counted  bool     `json:"counted"`  // the request counts in the sender's retry budget
	Tried    []string `json:"tried,omitempty"`
}

func (q handOffRequest) valid() bool { return q.From != "" && q.Attempts >= 0 }

// handOffAnswer is what the peer says of its answer.
type handOffAnswer struct {
	Config   uint64 `json:"config"`             // version of the configuration by which the request was handled
	Ran      bool   `json:"ran"`                // the request may have run
	Target   string `json:"target,omitempty"`   // ID of the target that answered; "" if none did
	Declined string `json:"declined,omitempty"` // why the peer serves no request now, so that another may be asked; only if the request has not run
}

// Reasons for which a peer declines requests.
const (
	declinedPartitioned = "partitioned"
	declinedOldConfig   = "old-config"
	declinedStopping    = "stopping"
	declinedOverloaded  = "overloaded"
	declinedNoMemory    = "no-memory"
)

// setHandOff sets the header of a hand-off, replacing any value from the caller or a target.
func setHandOff[T handOffRequest | handOffAnswer](header http.Header, v T) {
	b, err := json.Marshal(v)
	if err != nil {
		b = nil // neither type holds a value that can't be encoded
	}
	header.Set(headerHandOff, string(b))
}

// takeHandOff decodes the header of a hand-off and removes it.
func takeHandOff[T handOffRequest | handOffAnswer](header http.Header, v *T) error {
	text := header.Get(headerHandOff)
	header.Del(headerHandOff)
	return json.Unmarshal([]byte(text), v)
}

// HandOffError reports that a peer declined a request, or answered it in an unexpected way.
type HandOffError struct {
	Peer     string
	Status   int
	Declined string // reason; "" if the peer gave none
}

func (e *HandOffError) Error() string {
	if e.Declined == "" {
		return "hand-off to " + e.Peer + ": unexpected answer: " + http.StatusText(e.Status)
	}
	return "hand-off to " + e.Peer + ": declined: " + e.Declined
}
