package wire

import (
	"bytes"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/quarantine"
)

// TestTheFrameOfACrashIsSmall and comes back as it was sent. It goes over each link of a
// region once, or twice where both ends pass it on.
func TestTheFrameOfACrashIsSmall(t *testing.T) {
	codec, err := NewCodec()
	must.NoError(t, err)
	sent := &Quarantine{Crashes: []quarantine.Crash{{ID: 1 << 63, AgeMS: 5}}, Informed: true}
	for n := range uint64(18) {
		sent.Crashes[0].Requests = append(sent.Crashes[0].Requests, quarantine.Fingerprint(1<<63+n))
	}
	sent.Completions = []quarantine.Completion{{Request: 1 << 62, AgeMS: 7}}
	var out bytes.Buffer
	must.NoError(t, codec.Append(&out, sent))
	test.LessEq(t, 200, out.Len())
	got, rest, err := codec.Next(out.Bytes())
	must.NoError(t, err)
	test.Len(t, 0, rest)
	test.Eq[Frame](t, sent, got)
	t.Logf("%d bytes", out.Len())
}
