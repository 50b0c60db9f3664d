package link

import (
	"slices"

	"github.com/rushramp/rushramp/pkg/wire"
)

// chunkQueue holds the queued chunks of a link, and how many are queued for each call.
type chunkQueue struct {
	chunks []*wire.Chunk
	// counts holds the number of chunks of each call that the writer has not taken. It is
	// kept when the queue is discarded, so that it still tells which bodies are incomplete.
	counts map[uint64]int
}

func (q *chunkQueue) len() int { return len(q.chunks) }

func (q *chunkQueue) push(chunk *wire.Chunk) {
	if q.counts == nil {
		q.counts = map[uint64]int{}
	}
	q.counts[chunk.ID]++
	q.chunks = append(q.chunks, chunk)
}

// pop removes and returns the oldest chunk, or nil.
func (q *chunkQueue) pop() *wire.Chunk {
	if len(q.chunks) == 0 {
		return nil
	}
	chunk := q.chunks[0]
	q.chunks[0] = nil
	q.chunks = q.chunks[1:]
	if q.counts[chunk.ID]--; q.counts[chunk.ID] == 0 {
		delete(q.counts, chunk.ID)
	}
	return chunk
}

// drop removes the chunks of a call. It returns false if the writer has taken all of them.
func (q *chunkQueue) drop(id uint64) bool {
	if q.counts[id] == 0 {
		return false
	}
	delete(q.counts, id)
	q.chunks = slices.DeleteFunc(q.chunks, func(chunk *wire.Chunk) bool { return chunk.ID == id })
	return true
}

// discard removes all chunks, since the link has ended.
func (q *chunkQueue) discard() { q.chunks = nil }

// dropChunks removes the queued chunks of a call. It returns false if the writer has taken
// all chunks that were queued for the call.
func (c *Conn) dropChunks(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chunks.drop(id)
}
