package edge

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const settingsText = `
node: "e1"
zone: "n1"
region: "north"
zones: {n1: "north"}
listen: {front: "10.0.0.1:1", ready: "10.0.0.1:2", directory: "10.0.0.1:3"}
platform: {address: "10.0.0.2:1"}
bounds: {grace: "6s", ttl_max: "20ms", retry_budget_ratio: 0.1, retry_budget_slack: 7}
`

func TestReload(t *testing.T) {
	r := newRig(t)
	r.launch()
	path := filepath.Join(t.TempDir(), "boot.yaml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(settingsText)
	r.node.Reload(path)
	if got := r.node.lookupTTL(); got != 20*time.Millisecond {
		t.Errorf("got ttl %s, want that of the file", got)
	}
	if got := r.node.bounds.Load().RetrySlack; got != 7 {
		t.Errorf("got slack %d, want 7", got)
	}
	for name, text := range map[string]string{
		"not YAML":      "{",
		"invalid bound": strings.Replace(settingsText, "ratio: 0.1", "ratio: 3", 1),
	} {
		write(text)
		r.node.Reload(path)
		if got := r.node.bounds.Load().RetryRatio; got != 0.1 {
			t.Errorf("%s: got ratio %f, want the old one", name, got)
		}
	}
}

// A file that changes without a signal is read too.
func TestSilentChange(t *testing.T) {
	r := newRig(t)
	r.launch()
	path := filepath.Join(t.TempDir(), "boot.yaml")
	if err := os.WriteFile(path, []byte(strings.Replace(settingsText, "slack: 7", "slack: 8", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.node.WatchSettings(ctx, path)
	time.Sleep(10 * time.Millisecond)
	if err := os.WriteFile(path, []byte(settingsText+"# changed\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(2 * reloadInterval); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if r.node.bounds.Load().RetrySlack == 7 {
			return
		}
	}
	t.Error("the changed file was not read")
}
