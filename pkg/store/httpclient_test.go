package store

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestEndlessBodiesOfThePlatformAreCut guards against a response that takes memory until the
// time-out of the call.
func TestEndlessBodiesOfThePlatformAreCut(t *testing.T) {
	for name, length := range map[string]string{"chunked": "", "of some terabytes": "9000000000000"} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				total := 0
				for block := []byte(strings.Repeat("x", 64<<10)); total < 4*maxResponseBytes; {
					n, err := w.Write(block)
					total += n
					if err != nil {
						break
					}
				}
				written <- total
			}))
			defer server.Close()
			client := NewHTTPClient(strings.TrimPrefix(server.URL, "http://"), 5*time.Second)
			_, err := client.Get(t.Context(), "a/x")
			test.Error(t, err)
			test.Less(t, 4*maxResponseBytes, <-written)
		})
	}
}
