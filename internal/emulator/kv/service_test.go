package kv

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/firlever/firlever/internal/platform"
)

var start = time.Unix(1_000_000, 0)

func newService(t testing.TB) *Service {
	t.Helper()
	s, err := New(Defaults(), rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestVersionsNeverGoBack(t *testing.T) {
	tests := map[string]struct {
		version uint64
		delete  bool
		want    uint64 // version after; 0 for a conflict
	}{
		"expected version":   {version: 3, want: 4},
		"older version":      {version: 2},
		"create over it":     {version: 0},
		"newer version":      {version: 4},
		"delete":             {version: 3, delete: true, want: 4},
		"delete older":       {version: 2, delete: true},
		"create after write": {version: 0, delete: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newService(t)
			for v := range uint64(3) {
				if _, err := s.Swap("/a", v, []byte{byte(v)}); err != nil {
					t.Fatal(err)
				}
			}
			write := func() (platform.Entry, error) { return s.Swap("/a", tt.version, []byte("new")) }
			if tt.delete {
				write = func() (platform.Entry, error) { return s.Delete("/a", tt.version) }
			}
			e, err := write()
			var conflict *platform.ConflictError
			if got, want := errors.As(err, &conflict), tt.want == 0; got != want {
				t.Fatalf("got conflict %v, want %v", got, want)
			}
			if e.Version != tt.want || e.Deleted != (tt.delete && tt.want > 0) {
				t.Errorf("got %+v, want version %d", e, tt.want)
			}
			if conflict != nil && conflict.Now.Version != 3 {
				t.Errorf("got a conflict with %d, want 3", conflict.Now.Version)
			}
		})
	}
}

func TestDeletedPathKeepsItsVersion(t *testing.T) {
	s := newService(t)
	_, _ = s.Swap("/a", 0, nil)
	_, _ = s.Delete("/a", 1)
	if _, err := s.Swap("/a", 0, nil); err == nil {
		t.Error("a deleted path was created anew at version 1")
	}
	if e, err := s.Swap("/a", 2, nil); err != nil || e.Version != 3 {
		t.Errorf("got %+v %v, want version 3", e, err)
	}
}

func TestRate(t *testing.T) {
	tests := map[string]struct {
		call Call
		asks int
		per  time.Duration
		want int // taken
	}{
		"burst of writes":      {Swap, 1000, 0, 400},
		"writes over the rate": {Acquire, 1000, time.Millisecond, 400 + 399},
		"writes at the rate":   {Register, 1000, time.Second / 400, 1000},
		"burst of reads":       {Get, 3000, 0, 2000},
		"watches are reads":    {Watch, 3000, 0, 2000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newService(t)
			var got int
			for i := range tt.asks {
				_, err := s.Begin(tt.call, start.Add(time.Duration(i)*tt.per))
				var busy *platform.BusyError
				if err == nil {
					got++
				} else if !errors.As(err, &busy) {
					t.Fatal(err)
				}
			}
			if got != tt.want {
				t.Errorf("got %d taken, want %d", got, tt.want)
			}
			want := Count{Call: tt.call, Calls: uint64(tt.asks), Busy: uint64(tt.asks - tt.want)}
			if got := s.Counts()[tt.call]; got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

func TestLeaseOfPausedHolder(t *testing.T) {
	const ttl = 10 * time.Second
	tests := map[string]struct {
		share float64       // of the ttl that the lease lasts
		pause time.Duration // of the first holder
		lapse bool          // by the service, at once
		want  uint64        // epoch of the second holder; 0 if the lease is still held
	}{
		"within its time":  {pause: ttl - 1},
		"past its time":    {pause: ttl, want: 2},
		"early lapse":      {share: 0.5, pause: ttl / 2, want: 2},
		"lapse at once":    {lapse: true, want: 2},
		"share not yet up": {share: 0.5, pause: ttl/2 - 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newService(t)
			s.SetFaults(Faults{LeaseShare: tt.share})
			old, err := s.Acquire("/l", "a", ttl, start)
			if err != nil || old.Epoch != 1 || !old.Until.Equal(start.Add(ttl)) {
				t.Fatalf("got %+v %v", old, err)
			}
			if tt.lapse {
				s.Lapse("/l")
			}
			now := start.Add(tt.pause)
			next, err := s.Acquire("/l", "b", ttl, now)
			var held *platform.HeldError
			if next.Epoch != tt.want || errors.As(err, &held) != (tt.want == 0) {
				t.Fatalf("got epoch %d %v, want %d", next.Epoch, err, tt.want)
			}
			if err := s.Release(old, now); (err != nil) != (tt.want > 0) {
				t.Errorf("got %v from the release of the old epoch", err)
			}
			if _, err := s.Acquire("/l", "c", ttl, now); (err != nil) != (tt.want > 0) {
				t.Errorf("got %v from a third holder", err)
			}
		})
	}
}

func TestReleaseOfOldEpoch(t *testing.T) {
	s := newService(t)
	old, _ := s.Acquire("/l", "a", time.Second, start)
	now := start.Add(time.Second)
	renewed, _ := s.Acquire("/l", "a", time.Second, now)
	if err := s.Release(old, now); err == nil {
		t.Error("an old epoch of the same holder released the lease")
	}
	if err := s.Release(renewed, now); err != nil {
		t.Error(err)
	}
	if l, err := s.Acquire("/l", "b", time.Second, now); l.Epoch != 3 {
		t.Errorf("got epoch %d %v, want 3", l.Epoch, err)
	}
}

func TestChanges(t *testing.T) {
	s := newService(t)
	for i := range uint64(3 * logSlack) {
		_, _ = s.Swap("/t/busy", i, nil)
	}
	after := s.Revision()
	_, _ = s.Swap("/t/a", 0, nil)
	_, _ = s.Swap("/other", 0, nil)
	_, _ = s.Delete("/t/busy", 3*logSlack)
	_, _ = s.Swap("/t/a", 1, nil)
	got, next := s.Changes("/t/", after)
	if len(got) != 2 || got[0].Path != "/t/busy" || !got[0].Deleted || got[1].Version != 2 {
		t.Errorf("got %+v, want the deletion, then /t/a at 2", got)
	}
	if want := after + 4; next != want {
		t.Errorf("got revision %d, want %d", next, want)
	}
	if got, _ := s.Changes("", 0); len(got) != 3 {
		t.Errorf("got %d entries from the beginning, want 3", len(got))
	}
	if len(s.log) > logSlack+10 {
		t.Errorf("got %d changes kept", len(s.log))
	}
}

func TestInstancesLag(t *testing.T) {
	show, gone := Defaults().ShowLag, Defaults().GoneLag
	events := []struct {
		at          time.Duration
		incarnation uint64
	}{{0, 1}, {show, 2}, {show + 1, 1}, {3 * show, 2}} // the third comes late
	tests := map[string]struct {
		at   time.Duration
		want []uint64 // incarnations
	}{
		"not yet shown":     {show - 1, nil},
		"shown":             {show, []uint64{1}},
		"change not shown":  {2*show - 1, []uint64{1}},
		"change shown":      {2 * show, []uint64{2}},
		"late one ignored":  {2*show + 1, []uint64{2}},
		"gone, still shown": {3*show + gone - 1, []uint64{2}},
		"gone":              {3*show + gone, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newService(t)
			for _, e := range events {
				if e.at <= tt.at {
					_ = s.Register(platform.Instance{ID: "a", Incarnation: e.incarnation}, start.Add(e.at))
				}
			}
			got := s.Instances(start.Add(tt.at))
			if len(got) != len(tt.want) || len(got) == 1 && got[0].Incarnation != tt.want[0] {
				t.Errorf("got %+v, want %v", got, tt.want)
			}
		})
	}
}
