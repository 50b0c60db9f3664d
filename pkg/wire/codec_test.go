package wire

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/quota"
)

// newTestCall returns a call with a body of bodySize bytes, and the chunks of the body.
func newTestCall(bodySize int) (*Call, []*Chunk) {
	body, chunks := Split(bytes.Repeat([]byte("ab"), bodySize/2))
	return &Call{
		ID: 7, Service: "glyphserve", Kind: "subset", Method: "GET", URI: "/subset/a?x=1",
		Headers:   []Header{{Name: "Accept", Value: "font/woff2"}, {Name: "User-Agent", Value: "reader"}},
		Placement: 3, Remaining: time.Second, MaxCost: 1, Body: body,
	}, chunks
}

func TestCodecKeepsTheOrderOfFrames(t *testing.T) {
	codec, err := NewCodec()
	must.NoError(t, err)
	call, chunks := newTestCall(3 * ChunkSize)
	must.Len(t, 2, chunks)
	var buf bytes.Buffer
	sent := []Frame{call, chunks[0], &Cancel{ID: 9}, chunks[1], &State{Placement: 4, Leaving: true}}
	for _, f := range sent {
		must.NoError(t, codec.Append(&buf, f))
	}
	rest := buf.Bytes()
	for _, want := range sent {
		var got Frame
		got, rest, err = codec.Next(rest)
		must.NoError(t, err)
		test.Eq(t, want, got)
	}
	test.SliceEmpty(t, rest)
}

// TestTextThatIsNotUTF8IsDecoded guards against a link that ends, with all calls on it, because
// a header or an ID holds a byte that is not UTF-8.
func TestTextThatIsNotUTF8IsDecoded(t *testing.T) {
	codec, err := NewCodec()
	must.NoError(t, err)
	latin1 := []Header{{Name: "X-Title", Value: "Stra\xdfe"}}
	for _, sent := range []Frame{
		&Call{ID: 1, URI: "/\xdf", Headers: latin1}, &Answer{ID: 1, Status: 200, Headers: latin1},
		&Departures{IDs: []string{"\xff\xfe"}}, &Refusal{ID: 1, Detail: "\xff"},
	} {
		var buf bytes.Buffer
		must.NoError(t, codec.Append(&buf, sent))
		got, rest, err := codec.Next(buf.Bytes())
		must.NoError(t, err)
		test.Eq(t, sent, got)
		test.SliceEmpty(t, rest)
	}
}

func TestStampSizeMatchesItsEncoding(t *testing.T) {
	codec, err := NewCodec()
	must.NoError(t, err)
	for _, n := range []uint64{0, 23, 24, 255, 256, 65535, 65536, 1<<32 - 1, 1 << 40} {
		stamp := Stamp{Seq: n, Running: 12, Queued: 300, Limit: 12, ServiceUS: 70_000}
		var with, without bytes.Buffer
		must.NoError(t, codec.Append(&with, &Refusal{Stamp: stamp}))
		must.NoError(t, codec.Append(&without, &Refusal{}))
		empty := Stamp{}
		test.Eq(t, with.Len()-without.Len(), stamp.Size()-empty.Size())
	}
}

func TestAssembly(t *testing.T) {
	call, chunks := newTestCall(3 * ChunkSize)
	damaged := *chunks[1]
	damaged.Data = append([]byte("x"), damaged.Data[1:]...)
	scenarios := []struct {
		name     string
		chunks   []*Chunk
		complete bool
	}{
		{"in order", chunks, true},
		{"last chunk missing", chunks[:1], false},
		{"out of order", []*Chunk{chunks[1], chunks[0]}, false},
		{"the same chunk twice", []*Chunk{chunks[0], chunks[0]}, false},
		{"damaged", []*Chunk{chunks[0], &damaged}, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			assembly, err := NewAssembly(call.Body, 1<<20)
			must.NoError(t, err)
			for _, c := range s.chunks {
				err = assembly.Add(c)
				if err != nil {
					break
				}
			}
			_, bodyErr := assembly.Body()
			test.Eq(t, s.complete, err == nil && bodyErr == nil)
		})
	}
	_, err := NewAssembly(call.Body, 100)
	test.Error(t, err, test.Sprint("the body exceeds the limit"))
}

// testAsk and testGrant are frames by which daemons enforce the limits of teams.
var (
	testAsk   = &QuotaAsk{Ask: quota.Ask{Group: 3, CounterTime: 1 << 40, Members: 62, TokenRequests: []quota.TokenRequest{{Team: "red", Count: 2, Returned: 1, AskedAt: 1 << 39}}}}
	testGrant = &QuotaGrant{Grant: quota.Grant{Group: 3, Members: 62, CounterTime: 1 << 40, TokenGrants: []quota.TokenGrant{{Team: "red", Requested: 2, Count: 1, AskedAt: 1 << 39, WaitMS: 40}}}}
)

// TestQuotaFramesAreSmall limits the size of the frames that renew a lease, since a daemon
// sends one to each counter about seven times a second.
func TestQuotaFramesAreSmall(t *testing.T) {
	codec, err := NewCodec()
	must.NoError(t, err)
	for _, frame := range []Frame{&QuotaAsk{Ask: quota.Ask{Group: 3, CounterTime: 1 << 40, Members: 62}}, &QuotaGrant{Grant: quota.Grant{Group: 3, Members: 62, CounterTime: 1 << 40}}} {
		var buf bytes.Buffer
		must.NoError(t, codec.Append(&buf, frame))
		test.LessEq(t, 24, buf.Len())
	}
}

func FuzzNext(f *testing.F) {
	codec, err := NewCodec()
	must.NoError(f, err)
	call, _ := newTestCall(64)
	for _, frame := range []Frame{call, &Answer{ID: 1, Status: 200}, &Refusal{ID: 2}, &Hello{VM: "a"}, &Update{Version: 1}, testAsk, testGrant} {
		var buf bytes.Buffer
		must.NoError(f, codec.Append(&buf, frame))
		f.Add(buf.Bytes())
	}
	// Frames with fewer fields than in this release, one of them nested, and a frame of a
	// type that a later release may add.
	f.Add([]byte{byte(TypeMembers), 0x81, 0x81, 0x80})
	f.Add([]byte{byte(TypeAnswer), 0x80})
	f.Add([]byte{byte(TypeCount), 0x81, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, rest, err := codec.Next(data)
		if err != nil {
			return
		}
		must.Less(t, len(data), len(rest))
		if frame == nil {
			return
		}
		var buf bytes.Buffer
		must.NoError(t, codec.Append(&buf, frame))
		decoded, _, err := codec.Next(buf.Bytes())
		must.NoError(t, err)
		must.Eq(t, frame, decoded)
	})
}

func BenchmarkFrameEncodeDecode(b *testing.B) {
	codec, err := NewCodec()
	must.NoError(b, err)
	call, _ := newTestCall(512)
	var buf bytes.Buffer
	b.ReportAllocs()
	for b.Loop() {
		buf.Reset()
		if err := codec.Append(&buf, call); err != nil {
			b.Fatal(err)
		}
		if _, _, err := codec.Next(buf.Bytes()); err != nil {
			b.Fatal(err)
		}
	}
}
