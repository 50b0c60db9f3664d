package store

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/standin/broken"
)

const (
	// largeObjectBytes is the size of an object that the socket buffers of both ends do not hold.
	largeObjectBytes = 16 << 20
	// brokenRounds is how often each broken answer is asked for.
	brokenRounds = 20
	// laterResponse is a valid Response, with a field of a later release, as long as the body of the
	// broken answers.
	laterResponse = "\xa1\x14\x63abc"
)

// TestBrokenAnswersOfThePlatformAcknowledgeNothing and are no objects.
func TestBrokenAnswersOfThePlatformAcknowledgeNothing(t *testing.T) {
	must.NoError(t, Decode([]byte(laterResponse), &Response{}))
	for name, answer := range broken.Answers {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer func() { _ = l.Close() }()
			answer.Text = strings.ReplaceAll(answer.Text, "broken", laterResponse)
			go broken.Serve(l, answer)
			client := NewHTTPClient(l.Addr().String(), 20*time.Second)
			size := 1
			if answer.Early {
				size = largeObjectBytes
			}
			for call, run := range map[string]func(context.Context) error{
				"transaction": func(ctx context.Context) error {
					return client.Transact(ctx, []Write{{Key: "a/x", Value: make([]byte, size)}})
				},
				"put": func(ctx context.Context) error { return client.PutObject(ctx, "x", make([]byte, size)) },
				"object": func(ctx context.Context) error {
					_, err := client.Object(ctx, "x")
					return err
				},
			} {
				accepted := 0
				for range brokenRounds {
					if run(t.Context()) == nil {
						accepted++
					}
				}
				test.Zero(t, accepted, test.Sprint(call, " succeeded"))
			}
		})
	}
}
