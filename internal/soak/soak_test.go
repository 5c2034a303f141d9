//go:build linux

package soak

import (
	"context"
	"maps"
	"os"
	"regexp"
	"slices"
	"strconv"
	"testing"
	"time"
)

const (
	envSoak = "FIRLEVER_SOAK" // how long TestSoak runs new seeds
	envSeed = "FIRLEVER_SEED" // seed to replay, or the first seed of a soak
	// runTime is how long faults are injected for one seed; recoverTime is how long the
	// cluster may then take until every instance is ready.
	runTime     = 6 * time.Second
	recoverTime = 10 * time.Second
	// settleTime is how long after the last fault removed targets may still receive requests:
	// records that expired during an outage may reappear for 2 s. quietTime is how long it is
	// then checked that they receive none.
	settleTime = 4 * time.Second
	quietTime  = time.Second
	// minSuccessShare is the share of the requests that must succeed despite the faults. When it
	// was set, measured shares were 0.7 to 0.9.
	minSuccessShare = 0.3
)

// regressionSeeds are run by every test run. Each seed that has failed is added, with its
// cause.
var regressionSeeds = []uint64{
	1,
	22, // requests sent before a limit was lowered were counted against the lower limit
}

// TestSoakShort runs the regression seeds.
func TestSoakShort(t *testing.T) {
	for _, seed := range regressionSeeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runSeed(t, seed) })
	}
}

// TestSoak runs new seeds for the duration in FIRLEVER_SOAK, beginning with FIRLEVER_SEED if it is
// set; with FIRLEVER_SEED alone it runs just that seed.
func TestSoak(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	if text := os.Getenv(envSeed); text != "" {
		var err error
		if seed, err = strconv.ParseUint(text, 10, 64); err != nil {
			t.Fatal(err)
		}
		if os.Getenv(envSoak) == "" {
			runSeed(t, seed)
			return
		}
	}
	text := os.Getenv(envSoak)
	if text == "" {
		t.Skipf("%s is not set", envSoak)
	}
	length, err := time.ParseDuration(text)
	if err != nil {
		t.Fatalf("%s: %v", envSoak, err)
	}
	for end := time.Now().Add(length); time.Now().Before(end) && !t.Failed(); seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runSeed(t, seed) })
	}
}

// runSeed runs the cluster with the faults of one seed, waits until it has recovered, and checks
// the recorded requests.
func runSeed(t *testing.T, seed uint64) {
	c := newCluster(t, seed)
	c.waitUntil(recoverTime, "all instances are ready", c.allReady)
	ctx, cancel := context.WithCancel(context.Background())
	c.startCallers(ctx, seed)
	var events []string
	begin := time.Now()
	for time.Since(begin) < runTime {
		at := time.Since(begin).Round(time.Millisecond)
		events = append(events, at.String()+" "+c.injectFault())
		if partitioned := c.maybePartition(); partitioned != "" {
			events = append(events, at.String()+" "+partitioned)
		}
		if burst := c.maybeBurst(seed); burst != "" {
			events = append(events, at.String()+" "+burst)
		}
		if restored := c.maybeRestore(); restored != "" {
			events = append(events, at.String()+" "+restored)
		}
		time.Sleep(time.Duration(50+c.rng.IntN(300)) * time.Millisecond)
	}
	c.waitUntil(recoverTime, "all instances are ready again", c.allReady)
	c.finalRestore()
	c.waitUntil(recoverTime, "the last configuration is in force everywhere", c.configCurrent)
	time.Sleep(settleTime)
	c.quiet.Store(true)
	time.Sleep(quietTime)
	cancel()
	c.background.Wait()
	for _, t := range append(c.targets, c.removed...) {
		t.close()
	}
	c.report(events)
}

func (c *cluster) allReady() bool {
	for _, e := range c.edges {
		if !e.ready() {
			return false
		}
	}
	return true
}

// poisonRequests returns the fingerprints of the requests that instances classified as poison
// requests, as found in their logs.
func (c *cluster) poisonRequests() []string {
	fingerprints := make(map[string]bool)
	for _, e := range c.edges {
		for _, m := range poisonPattern.FindAllStringSubmatch(e.out.String(), -1) {
			fingerprints[m[1]] = true
		}
	}
	return slices.Sorted(maps.Keys(fingerprints))
}

var poisonPattern = regexp.MustCompile(`msg="request ends targets" print=(\S+)`)

// report fails the test for each violation, and if too few requests succeeded. After a failure it
// also logs the events and the output of each instance.
func (c *cluster) report(events []string) {
	j := c.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checkRetriesLocked()
	c.t.Logf("%d requests, %d successful, by status %v, %d retries, %.2f of their bound at most, %d targets crashed by the poison request",
		j.total, j.succeeded, j.statuses, len(j.repeatedAt), j.fullest, j.crashes)
	if poison := c.poisonRequests(); len(poison) > 1 {
		c.t.Errorf("got requests %v classified as poison, want at most one", poison)
	}
	for _, f := range j.violations {
		c.t.Error(f)
	}
	if float64(j.succeeded) < minSuccessShare*float64(j.total) || j.total == 0 {
		c.t.Errorf("got %d of %d requests served", j.succeeded, j.total)
	}
	if !c.t.Failed() {
		return
	}
	for _, e := range events {
		c.t.Log(e)
	}
	for _, e := range c.edges {
		c.t.Logf("%s:\n%s", e.name, e.out.String())
	}
}
