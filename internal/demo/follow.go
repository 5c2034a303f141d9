package demo

import (
	"context"
	"net/http"
	"time"

	"github.com/firlever/firlever/internal/wire"
)

// awaitVersion polls the instances that are running when it is called until all
// have the given version of c.Path in force, until changeTimeout has passed or until
// ctx ends. It sets c.Instances, c.Missing and c.Millis. Instances that end meanwhile
// don't count.
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

// versionAt returns the version of a document that an instance has in force, 0 if
// the instance has none or doesn't answer. The call bypasses the emulated network.
// The bool is false if the call failed and the instance isn't running any more.
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
