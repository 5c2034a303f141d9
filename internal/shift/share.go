package shift

import "slices"

// unit is one request per second in the fixed-point numbers of a Share. Shares
// are integers so that adjacent bounds are equal on every owner.
const unit = 1 << 20

// golden is 2^64 divided by the golden ratio: its multiples modulo 2^64 are
// evenly distributed.
const golden = 0x9E3779B97F4A7C15

// Share is an interval of a service's cap at one place: its owner may use what
// lies between the two bounds. Shares of different owners never overlap.
type Share struct {
	from, to int64 // 0 <= from <= to, in 1/unit of a request per second
}

// Divide splits a cap, in requests per second of growth each second, into one
// share for each target, in proportion to the targets' allowances. The order of
// the targets must be the same on every owner. The shares sum to the cap exactly.
func Divide(limit int, allowances []int) []Share {
	shares := make([]Share, len(allowances))
	total := int64(0)
	for _, n := range allowances {
		total += int64(max(n, 0))
	}
	if total == 0 {
		return shares
	}
	all, sum := int64(max(limit, 0))*unit, int64(0)
	for i, n := range allowances {
		from := scale(all, sum, total)
		sum += int64(max(n, 0))
		shares[i] = Share{from: from, to: scale(all, sum, total)}
	}
	return shares
}

// Lower returns the lower n/total of the share.
func (s Share) Lower(n, total int) Share {
	return Share{from: s.from, to: s.splitAt(n, total)}
}

// Upper returns the part of the share that Lower leaves.
func (s Share) Upper(n, total int) Share {
	return Share{from: s.splitAt(n, total), to: s.to}
}

// PerSecond returns the average growth that the share allows each second, in
// requests per second.
func (s Share) PerSecond() float64 { return float64(s.to-s.from) / unit }

func (s Share) splitAt(n, total int) int64 {
	if total <= 0 {
		return s.from
	}
	n = min(max(n, 0), total)
	return s.from + scale(s.to-s.from, int64(n), int64(total))
}

// growth returns by how many whole requests the share lets a window exceed the
// one before it. Shares that together cover a cap of n sum to n in every window.
func (s Share) growth(window int64) int {
	phase := int64(uint64(window) * golden >> 44) // 0 <= phase < unit
	return int((s.to+phase)/unit - (s.from+phase)/unit)
}

// scale returns v*n/d without overflow for n <= d.
func scale(v, n, d int64) int64 {
	return v/d*n + v%d*n/d
}

func totalGrowth(shares []Share, window int64) int {
	n := 0
	for _, s := range shares {
		n += s.growth(window)
	}
	return n
}

// grows reports whether the shares ever allow growth.
func grows(shares []Share) bool {
	return slices.ContainsFunc(shares, func(s Share) bool { return s.to > s.from })
}
