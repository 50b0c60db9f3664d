package wire

import (
	"bytes"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/quarantine"
)

// TestQuarantineFrameIsSmall checks the size of the frame that reports a crash, and that it
// decodes to what was sent. The frame crosses each link of a region once, or twice if both
// ends forward it.
func TestQuarantineFrameIsSmall(t *testing.T) {
	codec, err := NewCodec()
	must.NoError(t, err)
	sent := &Quarantine{Crashes: []quarantine.Crash{{ID: 1 << 63, AgeMS: 5}}, Informed: true}
	for n := range uint64(18) {
		sent.Crashes[0].Contents = append(sent.Crashes[0].Contents, quarantine.Fingerprint(1<<63+n))
	}
	sent.Completions = []quarantine.Completion{{Content: 1 << 62, AgeMS: 7}}
	var buf bytes.Buffer
	must.NoError(t, codec.Append(&buf, sent))
	test.LessEq(t, 200, buf.Len())
	got, rest, err := codec.Next(buf.Bytes())
	must.NoError(t, err)
	test.Len(t, 0, rest)
	test.Eq[Frame](t, sent, got)
	t.Logf("%d bytes", buf.Len())
}
