package steer

import "time"

// retryAfter returns after which time the caller of a refused request should retry.
func (f *Fleet) retryAfter(now time.Time, s *service, q *Query, refused Choice) time.Duration {
	if refused.Reason == LimitReached {
		return s.scheduleRetry(now, now.Add(refused.RetryAfter), f.limitRetryGap(now, s, q))
	}
	return refused.RetryAfter
}
