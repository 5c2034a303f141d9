package demo

import (
	"context"
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/wire"
)

// awaitVersion asks the instances that run now for the version that they have in
// force, until all have the new one. Those that end meanwhile are left out.
func (r *run) awaitVersion(ctx context.Context, c *Change, version uint64) {
	start := time.Now()
	waiting := r.f.instances.running()
	c.Instances = len(waiting)
	for len(waiting) > 0 && ctx.Err() == nil && time.Since(start) < changeTimeout {
		var remaining []*process
		for _, p := range waiting {
			got, running := r.versionAt(ctx, p, c.Path)
			switch {
			case !running:
				c.Instances--
			case got < version:
				remaining = append(remaining, p)
			}
		}
		waiting = remaining
		if len(waiting) > 0 {
			time.Sleep(changePollInterval)
		}
	}
	c.Missing = len(waiting)
	c.Millis = millis(time.Since(start))
}

// versionAt asks one instance, past the emulated network.
func (r *run) versionAt(ctx context.Context, p *process, path string) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	client := wire.NewPeerProtobufClient("http://"+p.instance.Peers(), http.DefaultClient)
	status, err := client.Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return 0, r.f.instances.contains(p)
	}
	for _, v := range status.Versions {
		if v.Path == path {
			return v.Version, true
		}
	}
	return 0, true
}
