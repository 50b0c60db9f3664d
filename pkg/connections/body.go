package connections

// Body is the memory of a request body that is being received. It counts in a budget of its
// own.
type Body interface {
	// Reserved returns the bytes that count.
	Reserved() int64
	// Release returns them to the budget.
	Release()
}

// BeginBody records that the body of a request is being received, until EndBody.
func (e *Entry) BeginBody(b Body) {
	if e != nil {
		e.setBody(b)
	}
}

// EndBody records that the body has been received, or is refused.
func (e *Entry) EndBody() {
	if e != nil {
		e.setBody(nil)
	}
}

func (e *Entry) setBody(b Body) {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	e.body = b
}

// EvictBody releases the memory of the costliest body that has made no progress for a second,
// and closes its connection. It returns false if there is none besides that of e.
func (e *Entry) EvictBody() bool {
	if e == nil {
		return false
	}
	t := e.table
	t.mu.Lock()
	defer t.mu.Unlock()
	victim := t.costliest(e, t.limits.MinStall, func(other *Entry) float64 {
		if other.body == nil {
			return 0
		}
		return float64(other.body.Reserved())
	})
	if victim == nil {
		return false
	}
	victim.body.Release()
	t.evict(victim)
	return true
}
