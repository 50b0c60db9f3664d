package connections

import (
	"io"
	"net"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestListenerClosesWhatItsLimitsDoNotAdmit: a connection beyond the limit is closed, and one
// that has closed makes room.
func TestListenerClosesWhatItsLimitsDoNotAdmit(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	table := NewTable("test", Limits{Bytes: 2*connBytes - 1}, metrics.NewSet())
	l := table.Listener(inner)
	defer l.Close()
	accepted := make(chan net.Conn)
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		must.NoError(t, err)
		return c
	}
	first := dial()
	defer first.Close()
	server := <-accepted
	refused := dial()
	_, err = refused.Read(make([]byte, 1))
	test.ErrorIs(t, err, io.EOF)
	test.Eq(t, 1, table.refused.Get())
	must.NoError(t, server.Close())
	next := dial()
	defer next.Close()
	must.NoError(t, (<-accepted).Close())
	test.Eq(t, 0, table.count())
}
