package demo

import (
	"context"
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/wire"
)

// follow asks the instances that run now for the version that they have in
// force, until all have the new one. Those that end meanwhile are left out.
func (r *run) follow(ctx context.Context, c *Change, version uint64) {
	began := time.Now()
	waiting := r.f.roll.live()
	c.Instances = len(waiting)
	for len(waiting) > 0 && ctx.Err() == nil && time.Since(began) < changeWait {
		var rest []*process
		for _, p := range waiting {
			got, running := r.versionAt(ctx, p, c.Path)
			switch {
			case !running:
				c.Instances--
			case got < version:
				rest = append(rest, p)
			}
		}
		waiting = rest
		if len(waiting) > 0 {
			time.Sleep(changePoll)
		}
	}
	c.Missing = len(waiting)
	c.Millis = millis(time.Since(began))
}

// versionAt asks one instance, past the emulated network.
func (r *run) versionAt(ctx context.Context, p *process, path string) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	client := wire.NewPeerProtobufClient("http://"+p.in.Peers(), http.DefaultClient)
	status, err := client.Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return 0, r.f.roll.has(p)
	}
	for _, v := range status.Versions {
		if v.Path == path {
			return v.Version, true
		}
	}
	return 0, true
}
