package core_test

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Environment variables of the random runs.
const (
	envSoak = "FIRLEVER_SOAK" // duration of TestSoakCore, or its number of seeds
	envSeed = "FIRLEVER_SEED" // the one seed to replay, with its events; with envSoak the first seed
)

// shortRuns is the number of seeds in an ordinary test run.
const shortRuns = 4

// firstSoak is the first seed of a soak.
const firstSoak = 1000

// replay runs one seed and returns the first violation.
func replay(t *testing.T, seed uint64) string {
	t.Helper()
	w := newSimulation(seed)
	w.tracing = os.Getenv(envSeed) != "" && os.Getenv(envSoak) == ""
	fault := w.run()
	if w.tracing {
		t.Log(strings.Join(w.trace, "\n"))
		keys := make([]string, 0, len(w.counts))
		for key, n := range w.counts {
			keys = append(keys, key+": "+strconv.Itoa(n))
		}
		slices.Sort(keys)
		t.Log(strings.Join(keys, "\n"))
	}
	if fault != "" {
		t.Errorf("seed %d: %s", seed, fault)
	}
	return fault
}

// TestRandomRuns runs seeded simulations with every fault, and checks what really
// happened.
func TestRandomRuns(t *testing.T) {
	if os.Getenv(envSeed) != "" {
		replay(t, seedOf(t, 0))
		return
	}
	for seed := range uint64(shortRuns) {
		t.Run(strconv.FormatUint(seed+1, 10), func(t *testing.T) {
			t.Parallel()
			replay(t, seed+1)
		})
	}
}

// seedOf reads a seed from the environment.
func seedOf(t *testing.T, otherwise uint64) uint64 {
	t.Helper()
	s := os.Getenv(envSeed)
	if s == "" {
		return otherwise
	}
	seed, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return seed
}

// TestSoakCore runs consecutive seeds for as long as the environment specifies.
func TestSoakCore(t *testing.T) {
	s := os.Getenv(envSoak)
	if s == "" {
		t.Skip(envSoak + " is not set")
	}
	most, err := strconv.Atoi(s)
	limit, derr := time.ParseDuration(s)
	if err != nil && derr != nil {
		t.Fatalf("%s is %q, want a duration or a number of seeds", envSoak, s)
	}
	end := time.Now().Add(limit)
	first := seedOf(t, firstSoak)
	var failed []uint64
	n := 0
	for ; (err == nil && n < most) || (err != nil && time.Now().Before(end)); n++ {
		seed := first + uint64(n)
		t.Logf("seed %d", seed)
		if replay(t, seed) != "" {
			failed = append(failed, seed)
		}
	}
	t.Logf("%d seeds ran, failed: %v; replay one with %s=<seed> go test -run TestRandomRuns -v", n, failed, envSeed)
}
