package ingress

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/bodies"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/forward"
)

// bodyTime bounds the time of any body, so that a caller which states a large one and
// sends nothing does not keep its room for as long as it likes. It is a guess: the
// largest body allowed (8 MiB) takes 7 s on the users' slowest links.
const bodyTime = time.Minute

// errNoRoom ends the reading of a body in chunks for which there is no room.
var errNoRoom = errors.New("no room for the body")

// body takes a body in, within its bounds and where there is room for it.
func (s *Server) body(w http.ResponseWriter, r *http.Request, req *forward.Request, held *bodies.Reservation) ([]byte, *errkind.Error) {
	bound := s.bodyBound()
	if r.ContentLength > bound {
		w.Header().Set("Connection", "close")
		return nil, errkind.New(errkind.BodyTooLarge, "the body has %d bytes, %d are allowed", r.ContentLength, bound)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	if !held.Grow(r.ContentLength) {
		return nil, s.noRoom(w)
	}
	timeout := min(s.forwarder.Timeout(req), bodyTime)
	// A connection without deadlines has none that could be exceeded.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
	data, err := readBody(http.MaxBytesReader(w, r.Body, bound), r.ContentLength, held)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, errkind.New(errkind.BodyTooLarge, "the body has more than the allowed %d bytes", bound)
	case errors.Is(err, errNoRoom):
		return nil, s.noRoom(w)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errkind.New(errkind.DeadlineBeforeRun, "the body ended after %d bytes, and its time with it", len(data))
	case err != nil:
		return nil, errkind.New(errkind.BodyCut, "the body ended after %d bytes", len(data))
	}
	return data, nil
}

// bodyBound is the largest body that is taken, in bytes.
func (s *Server) bodyBound() int64 {
	bound := int64(s.Settings.Limits.MaxBodyBytes)
	if most := int64(s.limits().MaxBodyBytes); most > 0 {
		bound = min(bound, most)
	}
	return bound
}

// noRoom refuses a request whose body this daemon cannot hold; what the caller
// still sends is not read.
func (s *Server) noRoom(w http.ResponseWriter) *errkind.Error {
	w.Header().Set("Connection", "close")
	return errkind.New(errkind.Overloaded, "this daemon holds %d bytes of bodies of the %d in limits.bodies_bytes", s.Bodies.Reserved(), s.Bodies.Limit())
}

// readBody reads a body whole. Room was taken for one of stated length; one in
// chunks, whose length is -1, takes its room as it comes.
func readBody(from io.Reader, length int64, held *bodies.Reservation) ([]byte, error) {
	if length >= 0 {
		data := make([]byte, length)
		n, err := io.ReadFull(from, data)
		return data[:n], err
	}
	return io.ReadAll(&growing{from: from, held: held})
}

// growing takes room for what it reads.
type growing struct {
	from io.Reader
	held *bodies.Reservation
}

// Read implements io.Reader.
func (g *growing) Read(p []byte) (int, error) {
	n, err := g.from.Read(p)
	if !g.held.Grow(int64(n)) {
		return 0, errNoRoom
	}
	return n, err
}
