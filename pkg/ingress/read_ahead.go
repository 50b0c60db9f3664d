package ingress

import (
	"io"
	"time"
)

func (in *inbound) noteBehind() {
	select {
	case in.behind <- struct{}{}:
	default:
	}
	in.readAhead()
}

// readAhead lets pump read the connection from now on.
func (in *inbound) readAhead() {
	in.ahead = true
	if in.pumping || in.direct || in.err != nil {
		return
	}
	in.pumping = true
	_ = in.conn.SetReadDeadline(time.Time{})
	in.setTimer()
	go in.pump()
}

// pump reads until the connection ends or the caller has left. Over the bound it
// waits; once the server reads no more it throws away what comes, and waits for
// the end only.
func (in *inbound) pump() {
	buf := make([]byte, readSize)
	for {
		n, err := in.conn.Read(buf)
		in.mu.Lock()
		if in.stopped {
			in.unread += n
		} else if n > 0 {
			in.push(buf[:n])
		}
		if n > 0 && in.watched {
			in.noteBehind()
		}
		if err != nil {
			in.fail(err)
			in.mu.Unlock()
			return
		}
		in.changed.Broadcast()
		in.waitForRoom()
		over := in.err != nil
		in.mu.Unlock()
		if over {
			return
		}
	}
}

// waitForRoom waits while the bytes read ahead reach the bound. The caller's
// leaving would come behind what is not read then, so the kernel is asked.
func (in *inbound) waitForRoom() {
	for in.size >= in.most && !in.stopped && in.err == nil {
		timer := time.AfterFunc(hangupEvery, in.wake)
		in.changed.Wait()
		timer.Stop()
		if in.size >= in.most && hungUp(in.conn) {
			in.fail(io.EOF)
		}
	}
}

// fail takes over that the connection has ended. As with the standard server,
// the end of what a caller sends is its leaving, whether it still reads or not.
func (in *inbound) fail(err error) {
	in.err = err
	in.changed.Broadcast()
	in.left()
}

// untilLeft goes on reading after stop, to notice that the caller leaves.
func (in *inbound) untilLeft() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.readAhead()
}
