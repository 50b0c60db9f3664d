package wire

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrBodyCut is returned for a body that is incomplete, whose chunks are out of order, or
// that does not match the size and hash stated in its Body.
var ErrBodyCut = errors.New("the body does not match its length or hash")

// Split splits data into the Body that is sent in a Call or Answer frame and the Chunk
// frames that follow it. The caller sets the ID of the chunks. The parts share memory with
// data.
func Split(data []byte) (Body, []*Chunk) {
	body := Body{Size: uint64(len(data)), Hash: xxhash.Sum64(data), First: data[:min(len(data), ChunkSize)]}
	var chunks []*Chunk
	for offset := ChunkSize; offset < len(data); offset += ChunkSize {
		end := min(offset+ChunkSize, len(data))
		chunks = append(chunks, &Chunk{Seq: uint32(len(chunks)), Data: data[offset:end]})
	}
	return body, chunks
}

// Offer returns the Body of a Call frame that offers data without sending any of it.
func Offer(data []byte) Body { return Body{Size: uint64(len(data)), Hash: xxhash.Sum64(data)} }

// Offered reports whether the body is sent only as far as Grant frames allow.
func (b *Body) Offered() bool { return b.Size > 0 && len(b.First) == 0 }

// Assembly assembles a body from its Body and its chunks. It returns the body only if all
// parts have arrived in order and the size and hash match.
type Assembly struct {
	expected Body
	data     []byte
	nextSeq  uint32
}

// NewAssembly returns an assembly that contains the first part of a body, as received in a
// Call or Answer frame. It returns an error if the stated size of the body exceeds maxSize
// bytes, or if the first part is larger than the stated size.
func NewAssembly(first Body, maxSize int) (*Assembly, error) {
	if first.Size > uint64(maxSize) || uint64(len(first.First)) > first.Size {
		return nil, errors.Errorf("a body of %d bytes exceeds the limit of %d bytes", first.Size, maxSize)
	}
	return &Assembly{expected: first, data: first.First}, nil
}

// Add appends the next chunk. It returns ErrBodyCut if the chunk is out of order, or if the
// body would exceed its stated size.
func (a *Assembly) Add(chunk *Chunk) error {
	inOrder := chunk.Seq == a.nextSeq
	if !inOrder || uint64(len(a.data)+len(chunk.Data)) > a.expected.Size {
		return ErrBodyCut
	}
	a.nextSeq++
	if uint64(cap(a.data)) < a.expected.Size {
		// One buffer for the whole body: growing it would take up several times its size.
		a.data = append(make([]byte, 0, a.expected.Size), a.data...)
	}
	a.data = append(a.data, chunk.Data...)
	return nil
}

// Complete reports whether all bytes have arrived. It does not check the hash.
func (a *Assembly) Complete() bool { return uint64(len(a.data)) == a.expected.Size }

// Body returns the whole body, or ErrBodyCut if it is incomplete or its hash differs.
func (a *Assembly) Body() ([]byte, error) {
	if !a.Complete() || xxhash.Sum64(a.data) != a.expected.Hash {
		return nil, ErrBodyCut
	}
	return a.data, nil
}
