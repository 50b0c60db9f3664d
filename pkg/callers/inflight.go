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
func (i *inFlight) enter(caller string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.by[caller] >= i.most {
		return false
	}
	i.by[caller]++
	return true
}

func (i *inFlight) leave(caller string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.by[caller]--
	if i.by[caller] == 0 {
		delete(i.by, caller)
	}
}
