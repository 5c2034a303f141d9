package edge

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/http1"
	"github.com/firlever/firlever/platform"
)

// againBusy is over how long refused callers are told to come back to an instance that
// refuses all requests; to one that refuses a part of them, over as large a part of it.
const againBusy = time.Second

// tooBusy refuses a request that this process has no time for: with more than it can do, each
// request would take so long that its caller leaves before the answer.
func (n *Node) tooBusy(r *http1.Request) *http1.Response {
	share := n.cfg.Load.Share()
	why := &refusal{
		status: http.StatusServiceUnavailable, reason: "overloaded",
		again: againSoonest + rand.N(time.Duration(share*float64(againBusy))+1),
	}
	return n.refuse(r, platform.ReadRequest(r.Header), why, "share", share)
}
