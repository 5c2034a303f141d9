package instance

import (
	"context"
	"sync"
)

// askers is how many peers may be asked for grants at one time.
const askers = 4

// askGrants carries out the node's calls for grants.
func (in *Instance) askGrants(ctx context.Context) {
	var g sync.WaitGroup
	for range askers {
		g.Go(func() { in.asker(ctx) })
	}
	g.Wait()
}

// tellCrashes carries out what the node tells peers of targets that ended.
func (in *Instance) tellCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-in.news:
			in.server.TellCrashes(ctx, d)
		}
	}
}

func (in *Instance) asker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-in.asks:
			in.server.AskGrant(ctx, d)
		}
	}
}
