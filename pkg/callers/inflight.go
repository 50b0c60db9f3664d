package callers

import "sync"

// inFlight counts the calls in flight of each caller address.
type inFlight struct {
	most int
	mu   sync.Mutex
	by   map[string]int
}

func newInFlight(most int) *inFlight { return &inFlight{most: most, by: map[string]int{}} }

// enter counts one more; false when the caller has as many as allowed.
func (self *inFlight) enter(caller string) bool {
	self.mu.Lock()
	defer self.mu.Unlock()
	if self.by[caller] >= self.most {
		return false
	}
	self.by[caller]++
	return true
}

func (self *inFlight) leave(caller string) {
	self.mu.Lock()
	defer self.mu.Unlock()
	self.by[caller]--
	if self.by[caller] == 0 {
		delete(self.by, caller)
	}
}
