package forward

import "time"

// retryAfter is when a caller whose request was refused for want of room should come
// back. One that can still be in time then is asked to come soon. Any other gets what
// a late answer is worth whenever it comes, so it is asked to stay away for as long as
// callers heed: until then its attempts would take the place of first tries that can
// be in time. After a loss of power two in five tries were such ones.
func (a *attempts) retryAfter() time.Duration {
	longest := time.Duration(retryShare * float64(a.left()))
	soon := min(a.owner.Settings.Routing.RetryAfter, longest)
	if a.targetLeft() > soon+a.work() {
		return soon
	}
	return longest
}
