package events

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

func TestEachEventHasACatalogueEntry(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
	must.NoError(t, err)
	declared := map[ID]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		if ident, isIdent := spec.Type.(*ast.Ident); !isIdent || ident.Name != "ID" {
			return true
		}
		number, convErr := strconv.Atoi(spec.Values[0].(*ast.BasicLit).Value)
		must.NoError(t, convErr)
		declared[ID(number)] = spec.Names[0].Name
		return true
	})
	for _, entry := range Catalogue() {
		test.MapContainsKey(t, declared, entry.ID)
		delete(declared, entry.ID)
		test.NotEq(t, "", entry.Cause)
		test.NotEq(t, "", entry.Do)
	}
	test.MapEmpty(t, declared, test.Sprint("events without a catalogue entry"))
}

func TestRepeatsAreCountedNotWritten(t *testing.T) {
	var out bytes.Buffer
	log := NewLog(&out, Info, F("vm", "a"))
	for range 10 * repeatBurst {
		log.Event(LinkDown, F("peer", "b"))
	}
	lines := strings.Count(out.String(), "event=202")
	test.Between(t, repeatBurst, lines, repeatBurst+repeatsPerSecond)
	test.StrContains(t, out.String(), "vm=a")
}

func TestLevelsBelowTheMinimumAreLeftOut(t *testing.T) {
	var out bytes.Buffer
	log := NewLog(&out, Warn)
	log.Event(LinkDown)
	test.Eq(t, "", out.String())
	log.Event(PlatformDown)
	test.StrContains(t, out.String(), "event=701")
}
