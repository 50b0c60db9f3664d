package link

import (
	"bytes"
	"io"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestAnAnswerWhoseLinkEndsIsRefused at each of its frames.
func TestAnAnswerWhoseLinkEndsIsRefused(t *testing.T) {
	body, chunks := wire.Split(bytes.Repeat([]byte("y"), 3*wire.ChunkSize+10))
	for arrived := range len(chunks) {
		var results []call.Result
		client := &Client{pending: map[uint64]*pendingCall{1: {done: func(r call.Result) { results = append(results, r) }}}, maxBody: 1 << 20}
		must.NoError(t, client.receive(&wire.Answer{ID: 1, Status: 200, Body: body}))
		for _, chunk := range chunks[:arrived] {
			chunk.ID = 1
			must.NoError(t, client.receive(chunk))
		}
		must.Len(t, 0, results)
		client.failAll(io.ErrUnexpectedEOF)
		must.Len(t, 1, results)
		test.Nil(t, results[0].Answer)
		must.NotNil(t, results[0].Refusal)
		test.Eq(t, errkind.LinkLost, results[0].Refusal.Kind)
		test.Eq(t, errkind.RanMaybe, results[0].Refusal.Ran)
	}
}
