package rollout

import "math"

// exactTest returns the probability that the canaries have at least as many bad answers as counted
// if both versions are equally good: the one-sided exact test of R. A. Fisher (Statistical Methods
// for Research Workers, section 21.02). It holds for any number of answers.
func exactTest(canaries, old Tally) float64 {
	bad, all := canaries.Bad+old.Bad, canaries.Answers+old.Answers
	p := 0.0
	for n := canaries.Bad; n <= min(bad, canaries.Answers); n++ {
		term := math.Exp(logChoose(bad, n) + logChoose(all-bad, canaries.Answers-n) - logChoose(all, canaries.Answers))
		p += term
		if term < p*negligibleTerm {
			break // the terms only decrease from here on
		}
	}
	return min(p, 1)
}

// binomialTail returns the probability of at least as many bad answers as counted if each is bad with
// probability share.
func binomialTail(t Tally, share float64) float64 {
	if share >= 1 {
		return 1
	}
	p := 0.0
	for n := t.Bad; n <= t.Answers; n++ {
		term := math.Exp(logChoose(t.Answers, n) + float64(n)*math.Log(share) + float64(t.Answers-n)*math.Log1p(-share))
		p += term
		if float64(n) > share*float64(t.Answers) && term < p*negligibleTerm {
			break
		}
	}
	return min(p, 1)
}

// negligibleTerm is the part of a sum below which a term doesn't change it in effect.
const negligibleTerm = 1e-9

// logChoose returns the logarithm of the binomial coefficient; -Inf if there is no way to choose.
func logChoose(n, k int) float64 {
	if k < 0 || k > n {
		return math.Inf(-1)
	}
	return logFactorial(n) - logFactorial(k) - logFactorial(n-k)
}

func logFactorial(n int) float64 {
	v, _ := math.Lgamma(float64(n + 1))
	return v
}
