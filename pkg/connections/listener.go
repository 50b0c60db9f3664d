package connections

import "net"

// Listener returns a listener that accepts the connections of inner within the limits of the
// table, and closes those that the limits do not admit.
func (t *Table) Listener(inner net.Listener) net.Listener {
	if t == nil {
		return inner
	}
	return &listener{Listener: inner, table: t}
}

type listener struct {
	net.Listener
	table *Table
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		out := &conn{Conn: inner, entry: l.table.NewEntry()}
		if l.table.Open(out.entry, func() { _ = inner.Close() }) {
			return out, nil
		}
		_ = inner.Close()
	}
}

// conn is a connection that records its progress.
type conn struct {
	net.Conn
	entry *Entry
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.entry.Received(n)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.entry.BeginWrite()
	defer c.entry.EndWrite()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.entry.Close()
	return c.Conn.Close()
}
