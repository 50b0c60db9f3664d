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
func keyOf(h http.Header) forward.TeamKey {
	values := h[forward.TeamKeyHeader]
	if len(values) != 1 {
		return forward.TeamKey{}
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, keyScheme) || key == "" {
		return forward.TeamKey{}
	}
	return forward.TeamKey{Digest: teams.DigestOf(key), Given: true}
}
