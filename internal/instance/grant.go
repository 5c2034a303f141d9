package instance

import (
	"context"
	"sync"
)

// grantWorkers is how many grant requests to peers may be in flight at one time.
const grantWorkers = 4

// runGrantRequests sends the grant requests that the node decides on.
func (in *Instance) runGrantRequests(ctx context.Context) {
	var g sync.WaitGroup
	for range grantWorkers {
		g.Go(func() { in.grantWorker(ctx) })
	}
	g.Wait()
}

// sendCrashReports sends the node's reports about crashed targets to peers.
func (in *Instance) sendCrashReports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-in.crashReports:
			in.server.SendCrashes(ctx, d)
		}
	}
}

func (in *Instance) grantWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-in.grantRequests:
			in.server.AskGrant(ctx, d)
		}
	}
}
