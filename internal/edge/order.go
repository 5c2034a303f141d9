package edge

import (
	"cmp"
	"strings"

	"github.com/firlever/firlever/platform"
)

// compareItems compares two states of a store key by their writer's own counters: above 0 if a is
// later, below 0 if b is, and 0 if the order is unknown.
func order(a, b platform.Item) int {
	_, isTarget := platform.TargetID(a.Key)
	switch {
	case a.Key == platform.ConfigKey:
		return orderConfigs(a, b)
	case isTarget:
		return orderTargets(a, b)
	case strings.HasPrefix(a.Key, instancePrefix):
		return orderRecords(a, b)
	}
	return 0
}

func orderConfigs(a, b platform.Item) int {
	x, err := platform.ConfigVersion(a.Value)
	y, fault := platform.ConfigVersion(b.Value)
	if err != nil || fault != nil {
		return 0 // unreadable values are rejected where they are applied
	}
	return cmp.Compare(x, y)
}

func orderTargets(a, b platform.Item) int {
	x, err := platform.DecodeRegistration(a)
	y, fault := platform.DecodeRegistration(b)
	if err != nil || fault != nil {
		return 0
	}
	return cmp.Or(x.Started.Compare(y.Started), cmp.Compare(x.Sequence, y.Sequence))
}

// compareRecords relies on a leaving instance to keep leaving until its process ends.
func orderRecords(a, b platform.Item) int {
	x, err := decodeRecord(a.Value)
	y, fault := decodeRecord(b.Value)
	if err != nil || fault != nil {
		return 0
	}
	return cmp.Or(cmp.Compare(x.Run, y.Run), asInt(x.Leaving)-asInt(y.Leaving))
}

func asInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
