package instance

import (
	"context"
	"sync"
)

// grantWorkers is how many peers may be asked for grants at one time.
const grantWorkers = 4

// runGrantRequests carries out the node's calls for grants.
func (in *Instance) runGrantRequests(ctx context.Context) {
	var g sync.WaitGroup
	for range grantWorkers {
		g.Go(func() { in.grantWorker(ctx) })
	}
	g.Wait()
}

// sendCrashReports carries out what the node tells peers of targets that ended.
func (in *Instance) sendCrashReports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-in.crashReports:
			in.server.TellCrashes(ctx, d)
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
