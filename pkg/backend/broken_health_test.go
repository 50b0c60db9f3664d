package backend

import (
	"net"
	"regexp"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/standin/broken"
)

// brokenHead matches the names of the broken answers that have no valid head.
var brokenHead = regexp.MustCompile("^(status|blank|control|protocol|head)-|-with-blank$")

// TestABrokenHeadIsNoHealthResponse nor a word of the backend server on its ID, load or speed.
func TestABrokenHeadIsNoHealthResponse(t *testing.T) {
	for name, answer := range broken.Answers {
		if !brokenHead.MatchString(name) {
			continue
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		go broken.Serve(l, answer)
		p := NewProber(l.Addr().String(), DefaultHeaders(), 5*time.Second)
		got, err := p.Probe(t.Context(), "/health")
		test.Error(t, err, test.Sprint(name, ": ", got))
		p.Close()
		_ = l.Close()
	}
}
