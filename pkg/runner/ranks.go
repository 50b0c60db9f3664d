package runner

import (
	"sync"

	"github.com/rushramp/rushramp/pkg/wire"
)

// ranks counts the runs under way that callers asked for, by rank.
type ranks struct {
	mu     sync.Mutex
	counts map[uint8]int
}

func newRanks() *ranks { return &ranks{counts: map[uint8]int{}} }

// add counts a run until the returned function is called; calls that services make
// are not counted.
func (k *ranks) add(rank uint8, origin wire.Origin) (ended func()) {
	if origin == wire.OriginService {
		return func() {}
	}
	k.change(rank, 1)
	return func() { k.change(rank, -1) }
}

func (k *ranks) change(rank uint8, by int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts[rank] += by
	if k.counts[rank] == 0 {
		delete(k.counts, rank)
	}
}

// first is the most urgent rank of them; 0 where there is none.
func (k *ranks) first() uint8 {
	k.mu.Lock()
	defer k.mu.Unlock()
	out, found := uint8(0), false
	for rank := range k.counts {
		if !found || rank < out {
			out, found = rank, true
		}
	}
	return out
}
