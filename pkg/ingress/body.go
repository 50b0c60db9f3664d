package ingress

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/forward"
)

// maxBodyTime is the longest time that a body may take to arrive, so that a caller that
// announces a large body and sends nothing cannot keep its reservation for the whole
// timeout of its request. A body of 8 MiB takes 7 s on the users' slowest links.
const maxBodyTime = time.Minute

// errOverBudget ends the reading of a chunked body that the budget has no bytes left for.
var errOverBudget = errors.New("the budget for request bodies is used up")

// receiveBody reads the body of a request into memory. It refuses a body that is larger
// than maxBodyBytes, exceeds the budget for bodies or takes too long to arrive.
func (s *Server) receiveBody(w http.ResponseWriter, r *http.Request, req *forward.Request, memory *requestMemory) ([]byte, *errkind.Error) {
	limit := s.maxBodyBytes()
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, errkind.New(errkind.BodyTooLarge, "the body has %d bytes, %d are allowed", r.ContentLength, limit)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	memory.entry.BeginBody(memory.Reservation)
	defer memory.entry.EndBody()
	if !memory.makeRoomForBody(r.ContentLength) {
		return nil, s.refuseOverBudget(w)
	}
	timeout := min(s.forwarder.Timeout(req), maxBodyTime)
	// This fails only on connections that do not support deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
	data, read, err := readBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, memory)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, errkind.New(errkind.BodyTooLarge, "the body has more than the allowed %d bytes", limit)
	case errors.Is(err, errOverBudget):
		return nil, s.refuseOverBudget(w)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errkind.New(errkind.DeadlineBeforeRun, "the time for the body ended after %d bytes", read)
	case err != nil:
		return nil, errkind.New(errkind.BodyCut, "the body ended after %d bytes", read)
	}
	return data, nil
}

// maxBodyBytes returns the largest allowed size of a body, in bytes: the smaller one of
// the limits in the settings and in the placement.
func (s *Server) maxBodyBytes() int64 {
	limit := int64(s.Settings.Limits.MaxBodyBytes)
	if placementLimit := int64(s.limits().MaxBodyBytes); placementLimit > 0 {
		limit = min(limit, placementLimit)
	}
	return limit
}

// refuseOverBudget returns the refusal of a request whose body exceeds the budget for
// bodies. The answer closes the connection, so that the rest of the body is not read.
func (s *Server) refuseOverBudget(w http.ResponseWriter) *errkind.Error {
	w.Header().Set("Connection", "close")
	return errkind.New(errkind.Overloaded, "request bodies hold %d of the %d bytes in limits.bodies_bytes", s.Bodies.Reserved(), s.Bodies.Limit())
}

// readBody reads a whole body of an announced length, or of an unknown one (-1) of up to limit
// bytes. Its bytes are reserved as they arrive. read is the number of bytes that were read.
func readBody(src io.Reader, length, limit int64, memory *requestMemory) (data []byte, read int, err error) {
	if length >= 0 {
		return readSized(src, length, memory.growBody)
	}
	return readPieces(src, limit, memory.growBody)
}

const (
	// firstSizedBytes is the size of the first buffer for a body of an announced length, and
	// sizedGrowth the factor by which it grows. A caller that announces a large body holds no
	// more than this multiple of what it has sent.
	firstSizedBytes = 64 << 10
	sizedGrowth     = 4
)

// readSized reads length bytes of src. It calls grow for the bytes of its buffer, and returns
// errOverBudget where that returns false.
func readSized(src io.Reader, length int64, grow func(n int64) bool) (data []byte, read int, err error) {
	for int64(len(data)) < length {
		if len(data) == cap(data) {
			size := min(max(sizedGrowth*int64(cap(data)), firstSizedBytes), length)
			if !grow(size - int64(cap(data))) {
				return nil, len(data), errOverBudget
			}
			larger := make([]byte, len(data), size)
			copy(larger, data)
			data = larger
		}
		n, err := src.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil && int64(len(data)) < length {
			return nil, len(data), err
		}
	}
	return data, len(data), nil
}

const (
	minPieceBytes = 512
	maxPieceBytes = 256 << 10
	// maxPiecesBytes is how much of a body is received in pieces.
	maxPiecesBytes = 1 << 20
)

// readPieces reads src, of up to limit bytes, to its end. It calls grow for the bytes that it has
// read, and returns errOverBudget where that returns false. Unlike io.ReadAll, it takes up little
// more memory than these bytes while src has not ended.
func readPieces(src io.Reader, limit int64, grow func(n int64) bool) (data []byte, read int, err error) {
	var pieces [][]byte
	piece := make([]byte, 0, minPieceBytes)
	for {
		n, err := src.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		read += n
		if !grow(int64(n)) {
			err = errOverBudget
		}
		switch {
		case err == io.EOF:
			return bytes.Join(append(pieces, piece), nil), read, nil
		case err != nil:
			return nil, read, err
		}
		if len(piece) == cap(piece) {
			pieces = append(pieces, piece)
			piece = make([]byte, 0, min(2*cap(piece), maxPieceBytes))
		}
		if read >= maxPiecesBytes {
			return readGrowing(bytes.Join(append(pieces, piece), nil), src, limit, grow)
		}
	}
}

// readGrowing reads the rest of src behind data, into a buffer that doubles. It calls grow for the
// bytes of the buffer beyond data. Joining pieces would take up twice the size of the body.
func readGrowing(data []byte, src io.Reader, limit int64, grow func(n int64) bool) (whole []byte, read int, err error) {
	data = data[:len(data):len(data)]
	for {
		// The end of src needs no larger buffer.
		var next [1]byte
		n, err := src.Read(next[:])
		if n > 0 && len(data) == cap(data) {
			size := max(min(2*int64(len(data)), limit), int64(len(data))+1)
			if !grow(size - int64(len(data))) {
				return nil, len(data), errOverBudget
			}
			data = append(make([]byte, 0, size), data...)
		}
		data = append(data, next[:n]...)
		for err == nil && len(data) < cap(data) {
			n, err = src.Read(data[len(data):cap(data)])
			data = data[:len(data)+n]
		}
		switch {
		case err == io.EOF:
			return data, len(data), nil
		case err != nil:
			return nil, len(data), err
		}
	}
}
