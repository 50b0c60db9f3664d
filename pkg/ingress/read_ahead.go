package ingress

import (
	"io"
	"time"
)

// signalMoreBytes tells the handler of the current request that bytes have arrived behind
// it, and starts to read ahead.
func (r *connReader) signalMoreBytes() {
	select {
	case r.moreBytes <- struct{}{}:
	default:
	}
	r.startReadAhead()
}

// startReadAhead starts readAheadLoop, unless it runs, the connection has ended, or a Read
// waits for the connection. In the last case, that Read starts the loop when it ends.
func (r *connReader) startReadAhead() {
	r.readAheadWanted = true
	if r.readAheadRunning || r.readingDirectly || r.err != nil {
		return
	}
	r.readAheadRunning = true
	_ = r.conn.SetReadDeadline(time.Time{})
	r.resetDeadlineTimer()
	go r.readAheadLoop()
}

// readAheadLoop reads ahead until the connection ends. While the buffer is full, it waits.
// After stop it discards what it reads, and only watches for the end of the connection.
func (r *connReader) readAheadLoop() {
	buf := make([]byte, maxReadBytes)
	for {
		n, err := r.conn.Read(buf)
		r.mu.Lock()
		r.recordArrival(n)
		if r.stopped {
			r.unreadBytes += n
		} else if n > 0 {
			r.buffer(buf[:n])
		}
		if n > 0 && r.watching {
			r.signalMoreBytes()
		}
		if err != nil {
			r.fail(err)
			r.mu.Unlock()
			return
		}
		r.changed.Broadcast()
		r.waitForBuffer()
		ended := r.err != nil
		r.mu.Unlock()
		if ended {
			return
		}
	}
}

// isBufferFull reports whether no more bytes are read ahead for now: the buffer is full, or the
// memory for callers.
func (r *connReader) isBufferFull() bool {
	return r.bufferedBytes >= r.maxBufferedBytes || r.bufferedBytes > r.chargedBytes
}

// waitForBuffer waits while the buffer is full. Since nothing is read meanwhile, it asks
// the kernel whether the caller has disconnected.
func (r *connReader) waitForBuffer() {
	for r.isBufferFull() && !r.stopped && r.err == nil {
		timer := time.AfterFunc(peerCheckInterval, r.wake)
		r.changed.Wait()
		timer.Stop()
		if r.isBufferFull() && peerClosed(r.conn) {
			r.fail(io.EOF)
		}
	}
}

// fail records the error that ended the connection. Like http.Server, it treats a caller
// that has closed only its sending half as disconnected.
func (r *connReader) fail(err error) {
	r.err = err
	r.changed.Broadcast()
	r.onDisconnect()
}

// watchForDisconnect is called after stop. It keeps the connection being read, so that a
// disconnect of the caller is noticed.
func (r *connReader) watchForDisconnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startReadAhead()
}
