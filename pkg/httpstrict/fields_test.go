package httpstrict

import (
	"net/http"
	"testing"

	"github.com/shoenig/test"
)

func TestNamesOfFields(t *testing.T) {
	for _, name := range []string{"", " ", "X Y", "X ", " X", "X\t", "X\x00", "X\x7f", "X\r\nY", "X:", "(X)", "X\x80", "Größe"} {
		test.Error(t, CheckField(name, "x"), test.Sprintf("%q", name))
		test.Error(t, CheckFields(http.Header{"Y": {"y"}, name: {"x"}}), test.Sprintf("%q", name))
	}
	for _, name := range []string{"X", "content-length", "!#$%&'*+-.^_`|~9z"} {
		test.NoError(t, CheckField(name, "x"), test.Sprintf("%q", name))
	}
}

func TestValuesOfFields(t *testing.T) {
	for _, value := range []string{"\x00", "a\x01b", "a\rb", "a\nb", "a\r\nB: c", "a\x7f", "\x1b[2J"} {
		test.Error(t, CheckField("X", value), test.Sprintf("%q", value))
		test.Error(t, CheckFields(http.Header{"X": {"x", value}}), test.Sprintf("%q", value))
	}
	for _, value := range []string{"", "a b", "a\tb", "Größe", "\xff"} {
		test.NoError(t, CheckField("X", value), test.Sprintf("%q", value))
	}
}
