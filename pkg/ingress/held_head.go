package ingress

import "github.com/pkg/errors"

// http.Server parses header lines as they arrive, and what it keeps of a line takes up many
// times its size. The connReader therefore holds the lines back as they came until the head
// is complete. It returns the request line at once: http.Server refuses an invalid one, and
// starts the timeout for the head with its first bytes.

// ordinaryHeadLines is the number of lines up to which a head counts as ordinary. What it takes
// up when parsed is part of what any connection takes up.
const ordinaryHeadLines = 64

// errNoRoomForHead ends a connection whose incomplete head exceeds the memory for callers.
var errNoRoomForHead = errors.New("the memory for callers' connections is used up")

// holdsHeads reports whether the bytes that Read would return belong to a head that is held
// back while it is incomplete.
func (r *connReader) holdsHeads() bool {
	return r.inHead && r.maxHeldBytes > 0 && !r.headReleased
}

// mayReturnBuffered reports whether Read may return buffered bytes now.
func (r *connReader) mayReturnBuffered() bool {
	if len(r.chunks) == 0 {
		return false
	}
	if r.holdsHeads() && (r.scanBuffered() || r.bufferedBytes >= min(r.maxHeldBytes, r.maxBufferedBytes)) {
		r.headReleased = true
	}
	return !r.holdsHeads() || r.headEnd.lines == 0
}

// scanBuffered reports whether the buffered bytes contain the end of the head. It scans each
// byte once.
func (r *connReader) scanBuffered() bool {
	if r.scannedBytes == 0 {
		r.scan = r.headEnd
	}
	skip := r.scannedBytes
	for _, c := range r.chunks {
		if skip >= len(c.data) {
			skip -= len(c.data)
			continue
		}
		if r.scan.find(c.data[skip:]) > 0 {
			return true
		}
		r.scannedBytes += len(c.data) - skip
		skip = 0
	}
	return false
}

// bytesToReturn returns how many bytes of p, which has just arrived, a Read returns. The
// others are buffered.
func (r *connReader) bytesToReturn(p []byte) int {
	if !r.holdsHeads() {
		return r.bytesUpToHeadEnd(p)
	}
	if len(r.chunks) > 0 {
		return 0
	}
	whole := r.headEnd
	if end := whole.find(p); end > 0 {
		r.headEnd, r.inHead = whole, false
		r.chargeHead()
		return end
	}
	if r.headEnd.lines > 0 {
		return 0
	}
	return r.bytesUpToHeadEnd(p[:r.headEnd.lineEnd(p)])
}

// returnable returns the bytes of a buffered chunk that a Read may return.
func (r *connReader) returnable(data []byte) []byte {
	if r.holdsHeads() {
		return data[:r.headEnd.lineEnd(data)]
	}
	return data
}

// releaseHead lets Read return a head that is held back although it will not be completed:
// http.Server answers an invalid line in it. It returns false if none is held back, or one of
// many lines.
func (r *connReader) releaseHead() bool {
	if !r.holdsHeads() || len(r.chunks) == 0 || r.noRoom || r.scan.lines > ordinaryHeadLines {
		return false
	}
	r.headReleased = true
	return true
}
