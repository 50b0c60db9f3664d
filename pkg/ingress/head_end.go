package ingress

// headEndFinder finds the empty line that ends the head of a request, also when the head
// arrives in several pieces. Like http.Server, it accepts lines that end in a newline
// without a carriage return.
type headEndFinder struct {
	// lineEnded is true after a newline, and after carriage returns that follow it.
	lineEnded bool
	// any is true once a byte other than a line ending has been seen. Empty lines
	// before the head do not end it.
	any bool
	// lines is the number of lines that have ended, without empty lines before the head.
	lines int
}

// find returns the number of bytes of p up to and including the end of the head, or 0 if
// the head does not end in p.
func (h *headEndFinder) find(p []byte) int {
	for i, b := range p {
		switch {
		case b == '\n' && h.lineEnded && h.any:
			return i + 1
		case b == '\n':
			h.lineEnded = true
			if h.any {
				h.lines++
			}
		case b != '\r':
			h.lineEnded, h.any = false, true
		}
	}
	return 0
}

// lineEnd returns the number of bytes of p up to and including the end of the first line that
// is not empty, or len(p) if no such line ends in p.
func (h *headEndFinder) lineEnd(p []byte) int {
	line := *h
	for i := range p {
		if line.find(p[i : i+1]); line.lines > h.lines {
			return i + 1
		}
	}
	return len(p)
}
