package wire

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrBodyCut is returned for a body that does not come to its size and hash.
var ErrBodyCut = errors.New("the body does not match its length or hash")

// Split makes the Body that goes with the first frame and the chunks that
// follow it, which still need their call's id. The parts share memory with data.
func Split(data []byte) (Body, []*Chunk) {
	body := Body{Size: uint64(len(data)), Hash: xxhash.Sum64(data), First: data[:min(len(data), ChunkSize)]}
	var chunks []*Chunk
	for at := ChunkSize; at < len(data); at += ChunkSize {
		end := min(at+ChunkSize, len(data))
		chunks = append(chunks, &Chunk{Seq: uint32(len(chunks)), Data: data[at:end]})
	}
	return body, chunks
}

// Assembly puts a body together again. It never looks whole before all parts
// are there, in order, with the stated length and hash.
type Assembly struct {
	want Body
	data []byte
	next uint32
}

// NewAssembly begins with the first frame's Body. maxSize bounds the whole.
func NewAssembly(first Body, maxSize int) (*Assembly, error) {
	if first.Size > uint64(maxSize) || uint64(len(first.First)) > first.Size {
		return nil, errors.Errorf("a body of %d bytes is over the bound of %d", first.Size, maxSize)
	}
	return &Assembly{want: first, data: first.First}, nil
}

// Add takes the next chunk.
func (a *Assembly) Add(chunk *Chunk) error {
	inOrder := chunk.Seq == a.next
	if !inOrder || uint64(len(a.data)+len(chunk.Data)) > a.want.Size {
		return ErrBodyCut
	}
	a.next++
	a.data = append(a.data, chunk.Data...)
	return nil
}

// Complete is true when all bytes are there.
func (a *Assembly) Complete() bool { return uint64(len(a.data)) == a.want.Size }

// Body returns the whole body, or ErrBodyCut.
func (a *Assembly) Body() ([]byte, error) {
	if !a.Complete() || xxhash.Sum64(a.data) != a.want.Hash {
		return nil, ErrBodyCut
	}
	return a.data, nil
}
