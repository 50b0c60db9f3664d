// Package firsttry tells how long ago a caller made the first try of a request that
// it sends once more, from the time that it says it will wait: first tries on a route
// say the same, and a caller that comes back says what is left of it. An answer that
// is late already for the first try is worth little, and should not take the place of
// one that can be in time. Right after all daemons were away most requests are such
// ones. Source: docs/design/cold-service.md.
package firsttry

import (
	"sync"
	"time"
)

const (
	// mostRoutes bounds the routes that are followed.
	mostRoutes = 4096
	// mostValues bounds the times that are counted on a route. Any that makes up
	// more than one in so many of them is among those (Misra and Gries, "Finding
	// repeated elements").
	mostValues = 12
	// usualShare is the share of the tries that a time must make up to count as one
	// that first tries say, and leastSeen the number of them. Callers that come back
	// after a refusal say times that differ by how long that took.
	usualShare = 0.15
	leastSeen  = 4
	// remembered is how many tries are counted before all counts are halved, so that
	// a changed time is known after as many.
	remembered = 200
)

// Ages holds what callers on each route say. It is safe for concurrent use.
type Ages struct {
	mu      sync.Mutex
	byRoute map[string]*counts
}

// NewAges makes empty ages.
func NewAges() *Ages { return &Ages{byRoute: map[string]*counts{}} }

// Take counts a try whose caller will wait for a time, and returns how long ago its
// first try was: 0 for a first one, and where that is not known.
func (a *Ages) Take(route string, waits time.Duration) time.Duration {
	if waits <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.byRoute[route]
	if known == nil {
		if len(a.byRoute) >= mostRoutes {
			return 0
		}
		known = &counts{}
		a.byRoute[route] = known
	}
	known.add(waits)
	return known.age(waits)
}

// count is how often a time was said.
type count struct {
	waits time.Duration
	times float64
}

// counts are the times said most often on one route.
type counts struct {
	values []count
	all    float64
}

// add counts a time.
func (c *counts) add(waits time.Duration) {
	if c.all++; c.all > remembered {
		c.scale(0.5)
	}
	for i := range c.values {
		if c.values[i].waits == waits {
			c.values[i].times++
			return
		}
	}
	if len(c.values) < mostValues {
		c.values = append(c.values, count{waits: waits, times: 1})
		return
	}
	c.reduce()
}

// scale makes older tries count for less.
func (c *counts) scale(by float64) {
	c.all *= by
	for i := range c.values {
		c.values[i].times *= by
	}
}

// reduce makes room where all places are taken.
func (c *counts) reduce() {
	kept := c.values[:0]
	for _, v := range c.values {
		if v.times--; v.times > 0 {
			kept = append(kept, v)
		}
	}
	c.values = kept
}

// age is how much a time is less than the next one that first tries say; 0 where it
// is such a one, or none is known.
func (c *counts) age(waits time.Duration) time.Duration {
	age := time.Duration(0)
	for _, v := range c.values {
		if v.waits < waits || v.times < leastSeen || v.times < usualShare*c.all {
			continue
		}
		if less := v.waits - waits; age == 0 || less < age {
			age = less
		}
		if v.waits == waits {
			return 0
		}
	}
	return age
}
