package edge

import (
	"cmp"
	"strings"

	"github.com/firlever/firlever/platform"
)

// order tells which of two states of a key of the store its writer made later, by what it
// counts itself: above 0 for a, below 0 for b, and 0 if that doesn't show.
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
		return 0 // what can't be read is refused where it is applied
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

// orderRecords: an instance that leaves does so until its process ends.
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
