package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/routing"
)

// TestEncodeCompressedShrinksAndDecodeCompressedChecksTheHash: a daemon sends
// a new version to several peers at once, and calls on a slow link are delayed by its size.
func TestEncodeCompressedShrinksAndDecodeCompressedChecksTheHash(t *testing.T) {
	doc := &Document{Version: 9}
	for i := range 1400 {
		doc.Routes = append(doc.Routes, routing.Route{
			Name: fmt.Sprintf("r-%x", i*7919), Host: fmt.Sprintf("h%d.example", i%50), Prefix: fmt.Sprintf("/p%d/", i),
			Parts: []routing.Part{{Service: "s", Weight: 1}}, Timeout: time.Second, Target: 400 * time.Millisecond, Attempts: 2,
		})
	}
	hash, err := doc.Hash()
	must.NoError(t, err)
	plain, err := doc.Encode()
	must.NoError(t, err)
	compressed, err := doc.EncodeCompressed()
	must.NoError(t, err)
	test.Less(t, len(plain)/3, len(compressed))
	got, err := DecodeCompressed(compressed, hash)
	must.NoError(t, err)
	test.Eq(t, doc.Routes, got.Routes)
	_, err = DecodeCompressed(compressed, "other")
	test.Error(t, err)
	_, err = DecodeCompressed(compressed[:len(compressed)/2], hash)
	test.Error(t, err)
	_, err = DecodeCompressed(plain, hash)
	test.Error(t, err)
}
