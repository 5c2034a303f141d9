package edge

import (
	"cmp"
	"strings"

	"github.com/firlever/firlever/platform"
)

// compareItems compares two states of a store key by their writer's own counters: above 0 if a is
// later, below 0 if b is, and 0 if the order is unknown.
func compareItems(a, b platform.Item) int {
	_, isTarget := platform.TargetID(a.Key)
	switch {
	case a.Key == platform.ConfigKey:
		return compareConfigs(a, b)
	case isTarget:
		return compareTargets(a, b)
	case strings.HasPrefix(a.Key, instancePrefix):
		return compareRecords(a, b)
	}
	return 0
}

func compareConfigs(a, b platform.Item) int {
	x, errA := platform.ConfigVersion(a.Value)
	y, errB := platform.ConfigVersion(b.Value)
	if errA != nil || errB != nil {
		return 0 // unreadable values are rejected where they are applied
	}
	return cmp.Compare(x, y)
}

func compareTargets(a, b platform.Item) int {
	x, errA := platform.DecodeRegistration(a)
	y, errB := platform.DecodeRegistration(b)
	if errA != nil || errB != nil {
		return 0
	}
	return cmp.Or(x.Started.Compare(y.Started), cmp.Compare(x.Sequence, y.Sequence))
}

// compareRecords compares records by run. Within a run the leaving one is later, as an instance that
// leaves does so until its process ends, and then the one of the later change.
func compareRecords(a, b platform.Item) int {
	x, errA := decodeRecord(a.Value)
	y, errB := decodeRecord(b.Value)
	if errA != nil || errB != nil {
		return 0
	}
	return cmp.Or(cmp.Compare(x.Run, y.Run), boolToInt(x.Leaving)-boolToInt(y.Leaving), cmp.Compare(x.Change, y.Change))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
