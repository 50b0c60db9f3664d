package teams_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/goccy/go-yaml"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/teams"
)

func TestHolderIsTheLastTeamWithTheKey(t *testing.T) {
	d := teams.NewDirectory([]teams.Team{
		{Name: "red", Keys: []teams.KeyDigest{teams.DigestOf("r1"), teams.DigestOf("moved")}},
		{Name: "blue", Keys: []teams.KeyDigest{teams.DigestOf("moved")}, Limit: teams.Limit{Rate: 5, Burst: 2}},
	})
	test.Eq(t, "red", d.Holder(teams.DigestOf("r1")).Name)
	test.Eq(t, "blue", d.Holder(teams.DigestOf("moved")).Name)
	test.Nil(t, d.Holder(teams.DigestOf("R1")))
	test.Nil(t, d.Holder(teams.DigestOf("")))
	limit, ok := d.LimitOf("blue")
	test.True(t, ok && limit.Limited())
	_, ok = d.LimitOf("green")
	test.False(t, ok)
}

// TestKeyDigestRoundTripsInCBORAndYAML covers CBOR, in which daemons exchange documents,
// and YAML, in which operators write files. A key in place of its digest is refused.
func TestKeyDigestRoundTripsInCBORAndYAML(t *testing.T) {
	team := teams.Team{Name: "red", Keys: []teams.KeyDigest{teams.DigestOf("secret")}}
	encoded, err := cbor.Marshal(team)
	must.NoError(t, err)
	var decoded teams.Team
	must.NoError(t, cbor.Unmarshal(encoded, &decoded))
	test.Eq(t, team, decoded)
	text, err := yaml.Marshal(team)
	must.NoError(t, err)
	test.StrNotContains(t, string(text), "secret")
	var fromYAML teams.Team
	must.NoError(t, yaml.Unmarshal(text, &fromYAML))
	test.Eq(t, team, fromYAML)
	err = yaml.Unmarshal([]byte("name: red\nkeys: [secret]"), &fromYAML)
	must.Error(t, err)
}

// manyTeams returns 1,000 teams of 100 keys each.
func manyTeams() []teams.Team {
	var out []teams.Team
	for i := range 1000 {
		team := teams.Team{Name: fmt.Sprint("team-", i)}
		for k := range 100 {
			team.Keys = append(team.Keys, teams.DigestOf(fmt.Sprint("key-", i, "-", k)))
		}
		out = append(out, team)
	}
	return out
}

// TestDirectoryOf100000KeysTakesUnder16MB counts the memory of the digests, too.
func TestDirectoryOf100000KeysTakesUnder16MB(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d := teams.NewDirectory(manyTeams())
	runtime.GC()
	runtime.ReadMemStats(&after)
	test.Eq(t, 100_000, d.KeyCount())
	test.Less(t, 16<<20, int64(after.HeapAlloc)-int64(before.HeapAlloc))
	runtime.KeepAlive(d)
}

// TestHolderDoesNotAllocate checks Holder because it runs for each request.
func TestHolderDoesNotAllocate(t *testing.T) {
	d := teams.NewDirectory([]teams.Team{{Name: "red", Keys: []teams.KeyDigest{teams.DigestOf("r1")}}})
	test.Eq(t, 0, testing.AllocsPerRun(100, func() { _ = d.Holder(teams.DigestOf("r1")) }))
}

func BenchmarkHolder(b *testing.B) {
	d := teams.NewDirectory(manyTeams())
	for b.Loop() {
		if d.Holder(teams.DigestOf("key-500-50")) == nil {
			b.Fatal("no team holds the key")
		}
	}
}

func BenchmarkNewDirectory(b *testing.B) {
	many := manyTeams()
	for b.Loop() {
		_ = teams.NewDirectory(many)
	}
}
