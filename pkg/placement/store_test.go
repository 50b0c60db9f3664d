package placement

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rushramp/rushramp/pkg/standin/fakestore"
)

func kind(name string, dataCentres ...string) Kind {
	return Kind{Name: name, Path: "/" + name + "/*", DataCentres: dataCentres}
}

func put(service string, k Kind) Change { return Change{Op: PutKind, Service: service, Kind: k} }

// attempt is one operator's change and the outcome that was reported for it.
type attempt struct {
	proposal Proposal
	outcome  string
}

// TestConcurrentChangesWithAFlakyStore commits changes based on current and older versions
// to a store that loses answers, applies writes late, and fails. An operator whose outcome
// is "unknown" sends the same change id again. The history must match all reported outcomes.
func TestConcurrentChangesWithAFlakyStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := fakestore.NewFlaky()
		s := NewStore(table, table)
		docs := []*Document{{}}
		var attempts []*attempt
		for i := range rapid.IntRange(5, 40).Draw(t, "steps") {
			table.SetModes(rapid.SliceOfN(rapid.Map(rapid.IntRange(0, int(fakestore.ModeCount)-1),
				func(n int) fakestore.Mode { return fakestore.Mode(n) }), 0, 4).Draw(t, "modes"))
			a := nextAttempt(t, attempts, docs, i)
			if a.outcome == "" {
				attempts = append(attempts, a)
			}
			doc, err := s.Commit(context.Background(), a.proposal)
			// If a repeated attempt changed nothing, the outcome of the first one
			// remains unknown.
			if outcome := outcomeOf(err); outcome != "not changed" || a.outcome == "" {
				a.outcome = outcome
			}
			if err == nil {
				docs = append(docs, doc)
			}
			if table.Pending() > 0 && rapid.Bool().Draw(t, "apply a late write") {
				table.ApplyPending(0)
			}
		}
		table.SetModes(nil)
		checkHistory(t, s, attempts)
	})
}

// nextAttempt returns an earlier attempt whose outcome is unknown, or a new change based on
// one of the last three versions.
func nextAttempt(t *rapid.T, attempts []*attempt, docs []*Document, i int) *attempt {
	for _, a := range attempts {
		if a.outcome == "unknown" && rapid.Bool().Draw(t, "send again") {
			return a
		}
	}
	return &attempt{proposal: Proposal{
		Base:     docs[rapid.IntRange(max(0, len(docs)-3), len(docs)-1).Draw(t, "base")],
		ChangeID: fmt.Sprint("change-", i), Author: "operator", At: time.Unix(int64(i), 0),
		Changes: []Change{put("s", kind(fmt.Sprint("k", i), "a"))},
	}}
}

// outcomeOf returns the outcome that an error of Commit reports.
func outcomeOf(err error) string {
	var conflict *ConflictError
	var unknown *UnknownOutcomeError
	var notSent *NotSentError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &notSent):
		return "not changed"
	case errors.As(err, &unknown):
		return "unknown"
	}
	return err.Error()
}

// checkHistory checks that the history is complete, can be replayed, and holds each change
// as often as its outcome allows.
func checkHistory(t *rapid.T, s *Store, attempts []*attempt) {
	entries, err := s.History(context.Background(), 0, 1000)
	must.NoError(t, err)
	entryCounts := map[string]int{}
	doc := &Document{}
	for i, e := range entries {
		must.Eq(t, uint64(i+1), e.Version)
		entryCounts[e.ChangeID]++
		doc, err = Replay(doc, []LogEntry{e}, e.Hash)
		must.NoError(t, err)
		stored, err := s.Version(context.Background(), e.Version)
		must.NoError(t, err)
		must.Eq(t, doc.Services, stored.Services)
	}
	for _, a := range attempts {
		n := entryCounts[a.proposal.ChangeID]
		switch a.outcome {
		case "accepted":
			must.Eq(t, 1, n)
		case "conflict", "not changed":
			must.Eq(t, 0, n, must.Sprintf("%s was reported as %q", a.proposal.ChangeID, a.outcome))
		default:
			must.LessEq(t, 1, n)
		}
	}
}

func TestConflictErrorNamesTheVersionInForce(t *testing.T) {
	s := fakestore.New()
	placements := NewStore(s, s)
	proposal := func(author string) Proposal {
		return Proposal{Base: &Document{}, ChangeID: author, Author: author, Changes: []Change{put("s", kind(author, "a"))}}
	}
	_, err := placements.Commit(context.Background(), proposal("anna"))
	must.NoError(t, err)
	_, err = placements.Commit(context.Background(), proposal("bert"))
	must.Error(t, err)
	test.StrContains(t, err.Error(), "version 1 by anna")
}

func TestDecodeRefusesAWrongHash(t *testing.T) {
	doc := &Document{Version: 1, Services: []Service{{Name: "s", Kinds: []Kind{kind("k", "a")}}}}
	data, err := doc.Encode()
	must.NoError(t, err)
	_, err = Decode(data, "0000")
	must.Error(t, err)
	hash, err := doc.Hash()
	must.NoError(t, err)
	decoded, err := Decode(data, hash)
	must.NoError(t, err)
	test.Eq(t, doc, decoded)
}

func TestMatchReturnsTheMostSpecificKind(t *testing.T) {
	doc := &Document{Version: 1, Services: []Service{{Name: "s", Kinds: []Kind{
		{Name: "all", Path: "/*", DataCentres: []string{"a"}},
		{Name: "posts", Method: "POST", Path: "/*", DataCentres: []string{"a"}},
		{Name: "fonts", Path: "/fonts/*", DataCentres: []string{"a"}},
		{Name: "one", Path: "/fonts/one", DataCentres: []string{"b"}},
	}}}}
	service := Compile(doc).Service("s")
	for _, s := range []struct{ method, path, want string }{
		{"GET", "/fonts/one", "one"},
		{"GET", "/fonts/two", "fonts"},
		{"GET", "/x", "all"},
		{"POST", "/x", "posts"},
		{"POST", "/fonts/two", "fonts"},
	} {
		test.Eq(t, s.want, service.Match(s.method, s.path).Name, test.Sprint(s.method, " ", s.path))
	}
	test.False(t, service.Match("GET", "/fonts/one").Allows("a"))
}

func TestApplyingADiffYieldsTheOtherDocument(t *testing.T) {
	document := rapid.Custom(func(t *rapid.T) *Document {
		doc := &Document{Version: 1}
		for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID[string]).Draw(t, "services") {
			s := Service{Name: name}
			for _, k := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"x", "y"}), 1, 2, rapid.ID[string]).Draw(t, "kinds") {
				s.Kinds = append(s.Kinds, kind(k, rapid.SampledFrom([]string{"d", "e"}).Draw(t, "data centre")))
			}
			doc.Services = append(doc.Services, s)
		}
		return doc
	})
	rapid.Check(t, func(t *rapid.T) {
		from, to := document.Draw(t, "from"), document.Draw(t, "to")
		changes := Diff(from, to)
		if len(changes) == 0 {
			return
		}
		got, err := Apply(from, changes)
		must.NoError(t, err)
		must.SliceEmpty(t, Diff(got, to))
		must.Eq(t, len(to.Services), len(got.Services))
	})
}

func FuzzDecode(f *testing.F) {
	doc := &Document{Version: 1, Services: []Service{{Name: "s", Kinds: []Kind{kind("k", "a")}}}}
	data, err := doc.Encode()
	must.NoError(f, err)
	hash, err := doc.Hash()
	must.NoError(f, err)
	f.Add(data, hash)
	f.Fuzz(func(t *testing.T, data []byte, hash string) {
		got, err := Decode(data, hash)
		if err != nil {
			return
		}
		gotHash, err := got.Hash()
		must.NoError(t, err)
		must.Eq(t, hash, gotHash)
	})
}
