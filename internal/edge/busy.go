package edge

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/platform"
)

// overloadRetrySpread is the range of Retry-After values of an instance that refuses all
// requests. An instance that refuses a part of them spreads over the same part of the range.
const overloadRetrySpread = time.Second

// refuseOverloaded refuses a request that this overloaded process has no time for. If all were
// accepted, each would take so long that its caller leaves before the answer.
func (n *Node) refuseOverloaded(r *http1.Request) *http1.Response {
	share := n.cfg.Overload.Share()
	why := &refusal{
		status: http.StatusServiceUnavailable, reason: "overloaded",
		retryAfter: minRetryAfter + rand.N(time.Duration(share*float64(overloadRetrySpread))+1),
	}
	return n.refuse(r, platform.ReadRequest(r.Header), why, "share", share)
}
