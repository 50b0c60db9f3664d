package ingress

import (
	"net/http"
	"strings"

	"github.com/rushramp/rushramp/pkg/forward"
	"github.com/rushramp/rushramp/pkg/teams"
)

// keyScheme is the scheme of the header that carries a team's key (RFC 6750).
const keyScheme = "Bearer"

// keyOf is the digest of a request's key; the key itself goes no further. A request with
// two of them has none: which of the two holds would be a guess.
func keyOf(h http.Header) forward.Key {
	values := h[forward.KeyHeader]
	if len(values) != 1 {
		return forward.Key{}
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, keyScheme) || key == "" {
		return forward.Key{}
	}
	return forward.Key{Digest: teams.DigestOf(key), Given: true}
}
