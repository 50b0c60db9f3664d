package ingress

// headEnd finds the empty line at the end of a head, in whatever pieces the
// head comes. Lines may end without a carriage return, as the standard server
// reads them.
type headEnd struct {
	// newline is true after the end of a line, with or without a carriage
	// return behind it.
	newline bool
	// any is true once the head has begun: empty lines before it are no end.
	any bool
}

// find returns the index behind the head's end, or 0.
func (h *headEnd) find(p []byte) int {
	for i, b := range p {
		switch {
		case b == '\n' && h.newline && h.any:
			return i + 1
		case b == '\n':
			h.newline = true
		case b != '\r':
			h.newline, h.any = false, true
		}
	}
	return 0
}
