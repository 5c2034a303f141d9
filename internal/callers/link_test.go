package callers

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/firlever/firlever/internal/core"
	"github.com/firlever/firlever/pkg/settings"
)

// TestLinkIsSharedFairly runs several transfers over one link. Together they must get its rate, in
// equal shares, and traffic that isn't paced must not wait for them.
func TestLinkIsSharedFairly(t *testing.T) {
	const rate, window = 1 << 20, 10 * time.Second
	for _, transfers := range []int{1, 2, 7, 100} {
		t.Run(fmt.Sprint(transfers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &linkPacer{now: time.Now}
				size := l.chunk(rate)
				ctx, cancel := context.WithTimeout(t.Context(), window)
				defer cancel()
				sent := make([]int, transfers)
				for i := range sent {
					go func() {
						for l.wait(ctx, rate, size) == nil {
							sent[i] += size
						}
					}()
				}
				synctest.Wait()
				began := time.Now()
				if err := l.wait(ctx, 0, 1<<30); err != nil || time.Since(began) != 0 {
					t.Errorf("got %v after %v for interactive bytes, want no wait", err, time.Since(began))
				}
				<-ctx.Done()
				synctest.Wait()
				total := 0
				for _, n := range sent {
					total += n
				}
				limit := int(rate * window.Seconds())
				if total > limit+size || total < limit-size {
					t.Errorf("got %d bytes in %v, want %d", total, window, limit)
				}
				if least, most := slices.Min(sent), slices.Max(sent); most-least > 2*size {
					// The first gets a chunk before the others start, and the window may end in the
					// middle of a round.
					t.Errorf("got from %d to %d bytes for each, want a difference of at most two chunks", least, most)
				}
			})
		})
	}
}

func TestLinkWaitEndsWithItsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &linkPacer{now: time.Now}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		l.wait(ctx, 1, 100)
		began := time.Now()
		if err := l.wait(ctx, 1, 100); err == nil || time.Since(began) != time.Second {
			t.Errorf("got %v after %v, want an error after 1s", err, time.Since(began))
		}
	})
}

// bulkRig is an instance with a bulk and an interactive service, in a place whose link has the
// given rate in bytes/s. The bulk target answers with the number of bytes that the path names.
func bulkRig(tb testing.TB, rate int) *rig {
	tb.Helper()
	chunk := make([]byte, chunkSize)
	address := target(tb, func(w http.ResponseWriter, r *http.Request) {
		var n int
		fmt.Sscanf(r.URL.Path, "/%d", &n)
		w.Header().Set("Content-Length", fmt.Sprint(n))
		for n > 0 {
			k, err := w.Write(chunk[:min(n, chunkSize)])
			if err != nil {
				return
			}
			n -= k
		}
	})
	service := "class: %s\ntimeout: 1m\nshift: 1000\nplaces:\n  east:\n    limit: 200\n    targets:\n" +
		"      - {name: %s, address: %q, slots: 200, connections: 999}\n"
	s, err := settings.Compile([]settings.Document{
		{Path: "/places/east", Version: 2, Body: fmt.Appendf(nil, "region: coast\ndomain: east\nlimit: 400\nlink: %d\n", rate)},
		{Path: "/blocks/all", Version: 2, Body: []byte("blocks:\n  - {prefix: 127.0.0.0/8, place: east}\n")},
		{Path: "/teams/shop/services/maps", Version: 2, Body: fmt.Appendf(nil, service, "bulk", "m", address)},
		{Path: "/teams/shop/services/orders", Version: 2, Body: fmt.Appendf(nil, service, "interactive", "o", target(tb, func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, "ok")
		}))},
	})
	if err != nil {
		tb.Fatal(err)
	}
	return startRig(tb, "i1", s)
}

// get downloads the given number of bytes and returns how many arrived.
func (g *rig) get(ctx context.Context, bytes int) (int64, error) {
	resp, err := g.download(ctx, bytes)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return io.Copy(io.Discard, resp.Body)
}

// download sends a hand-off request as an instance of another place does.
func (g *rig) download(ctx context.Context, bytes int) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("%s/hand/shop/maps/%d", g.peers.URL, bytes), nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set(HeaderFrom, "i9")
	r.Header.Set(HeaderHome, "east")
	r.Header.Set(HeaderTimeout, "1000")
	return http.DefaultClient.Do(r)
}

// TestBulkAnswersArePaced downloads over a link that is too slow for the deadline. The caller must
// detect that the answer is truncated, and interactive services must not be slowed down.
func TestBulkAnswersArePaced(t *testing.T) {
	g := bulkRig(t, 1<<20)
	n, err := g.get(t.Context(), 8<<20)
	if most := int64(1<<20 + 4*chunkSize); err == nil || n > most || n < most/4 {
		t.Errorf("got %d bytes, %v, want it truncated after at most %d", n, err, most)
	}
	g.idle()
	if _, body := g.ask("GET", "/call/shop/orders/", ""); body != "ok" {
		t.Errorf("got %q from an interactive service, want ok", body)
	}
}

// TestShortAnswerBehindFullLink checks that a short answer that can't be passed on before its
// deadline is reported to the caller with an unknown outcome.
func TestShortAnswerBehindFullLink(t *testing.T) {
	g := bulkRig(t, 1<<10)
	if n, err := g.get(t.Context(), maxBuffered); err != nil || n != maxBuffered {
		t.Fatalf("got %d bytes, %v, want the first at once", n, err)
	}
	resp, err := g.download(t.Context(), 9)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if got, want := outcome(resp), OutcomeUnknown+" "+string(core.ReasonDeadline); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	g.idle()
}

// BenchmarkDownload streams answers of several sizes.
func BenchmarkDownload(b *testing.B) {
	for _, mb := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("%dMB", mb), func(b *testing.B) {
			g := bulkRig(b, 0)
			b.ReportAllocs()
			b.SetBytes(int64(mb) << 20)
			for b.Loop() {
				if got, err := g.get(b.Context(), mb<<20); got != int64(mb)<<20 {
					b.Fatalf("got %d bytes, %v, want %d MB", got, err, mb)
				}
			}
		})
	}
}

// BenchmarkBeside measures small requests alone, and beside 100 downloads over a link of 16 MB/s or
// over one without a limit.
func BenchmarkBeside(b *testing.B) {
	cases := []struct {
		name      string
		downloads int
		rate      int
	}{{"alone", 0, 0}, {"paced", 100, 16 << 20}, {"not paced", 100, 0}}
	for _, tt := range cases {
		b.Run(strings.ReplaceAll(tt.name, " ", "-"), func(b *testing.B) {
			g := bulkRig(b, tt.rate)
			ctx, cancel := context.WithCancel(b.Context())
			got := make(chan int64, tt.downloads)
			for range tt.downloads {
				go func() {
					n := int64(0)
					for ctx.Err() == nil {
						more, _ := g.get(ctx, 1<<30)
						n += more
					}
					got <- n
				}()
			}
			g.waitFor("all downloads", func(st core.Status) bool { return st.InFlight >= tt.downloads })
			var took []time.Duration
			began := time.Now()
			for b.Loop() {
				at := time.Now()
				g.ask("GET", "/call/shop/orders/", "")
				took = append(took, time.Since(at))
			}
			passed := time.Since(began)
			cancel()
			var total int64
			for range tt.downloads {
				total += <-got
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
			b.ReportMetric(float64(total)/passed.Seconds()/(1<<20), "bulk-MB/s")
		})
	}
}
