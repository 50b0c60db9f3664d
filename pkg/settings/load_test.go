package settings

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

const validSettings = `vm: {id: a, data_centre: d}
listen: {callers: "127.0.0.1:1", links: "127.0.0.1:2", operators: "127.0.0.1:3", metrics: "127.0.0.1:4"}
platform: {address: "127.0.0.1:5"}
`

func TestParse(t *testing.T) {
	scenarios := []struct {
		name string
		text string
		want []string
	}{
		{"defaults fill the rest", validSettings, nil},
		{"unknown field", validSettings + "gate: {slot: 3}\n", []string{"4:", "slot"}},
		{"bad address", "listen: {links: localhost}\n" + validSettings[:28], []string{"listen.links", "localhost", "IP number and a port"}},
		{"value out of range", validSettings + "backend_server: {slots: 0}\n", []string{"backend_server.slots", "at least 1"}},
		{"value not in the list", validSettings + "choosing: {policy: best}\n", []string{"choosing.policy", "expected_wait"}},
		{"missing certificate file", validSettings + "tls: {cert: /nope.pem, key: /nope.pem, ca: /nope.pem}\n", []string{"tls.cert", "existing file"}},
		{"missing required field", "tick: 10ms\n", []string{"vm.id", "Give a value"}},
		{"open to the network without TLS", "vm: {id: a, data_centre: d}\nlisten: {callers: '0.0.0.0:1', links: '0.0.0.0:2', operators: '127.0.0.1:3', metrics: '127.0.0.1:4'}\nplatform: {address: '127.0.0.1:5'}\n", []string{"listen.links", "without TLS"}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			_, err := Parse([]byte(s.text))
			if s.want == nil {
				must.NoError(t, err)
				return
			}
			must.Error(t, err)
			for _, part := range s.want {
				test.StrContains(t, err.Error(), part)
			}
		})
	}
}

// TestBodiesBytesBelowMaxBodyBytesIsRefused: the error says how to correct it.
func TestBodiesBytesBelowMaxBodyBytesIsRefused(t *testing.T) {
	_, err := Parse([]byte(validSettings + "limits:\n  max_body_bytes: 4096\n  bodies_bytes: 4095\n"))
	must.ErrorContains(t, err, "Raise the one or lower the other")
	_, err = Parse([]byte(validSettings + "limits:\n  max_body_bytes: 4096\n  bodies_bytes: 4096\n"))
	must.NoError(t, err)
}
