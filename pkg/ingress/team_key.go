package ingress

import (
	"net/http"
	"strings"

	"github.com/rushramp/rushramp/pkg/forward"
	"github.com/rushramp/rushramp/pkg/teams"
)

// teamKeyScheme is the authentication scheme of the header that carries a team's key
// (RFC 6750).
const teamKeyScheme = "Bearer"

// teamKeyOf returns the digest of a request's team key; the key itself is not kept. A
// request with more than one key header counts as one without a key.
func teamKeyOf(h http.Header) forward.TeamKey {
	values := h[forward.TeamKeyHeader]
	if len(values) != 1 {
		return forward.TeamKey{}
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, teamKeyScheme) || key == "" {
		return forward.TeamKey{}
	}
	return forward.TeamKey{Digest: teams.DigestOf(key), Given: true}
}
