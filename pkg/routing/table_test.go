package routing

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

func route(name, host, prefix string, parts ...Part) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Parts: parts, Timeout: time.Second}
}

func TestMatchReturnsTheLongestPrefixOfTheHost(t *testing.T) {
	table := Compile([]Route{
		route("short", "a.example", "/x/", Part{"s", 1}),
		route("long", "a.example", "/x/y/", Part{"s", 1}),
		route("other", "b.example", "/x/y/z/", Part{"s", 1}),
	}, nil, Limits{})
	scenarios := []struct{ host, path, want string }{
		{"a.example", "/x/y/z/1", "long"},
		{"A.Example:8080", "/x/1", "short"},
		{"a.example", "/x/y", "short"},
		{"b.example", "/x/y/z/1", "other"},
		{"a.example", "/", ""},
		{"c.example", "/x/y/", ""},
	}
	for _, s := range scenarios {
		got := table.Match(s.host, s.path)
		if s.want == "" {
			test.Nil(t, got, test.Sprint(s.host, s.path))
			continue
		}
		must.NotNil(t, got, must.Sprint(s.host, s.path))
		test.Eq(t, s.want, got.Name)
	}
}

// TestNextServiceKeepsTheWeightsOverFewRequests: 100 requests already match the weights.
func TestNextServiceKeepsTheWeightsOverFewRequests(t *testing.T) {
	table := Compile([]Route{route("r", "h", "/", Part{"a", 90}, Part{"b", 10})}, nil, Limits{})
	r := table.Match("h", "/")
	counts := map[string]int{}
	for range 100 {
		counts[r.NextService()]++
	}
	test.Between(t, 88, counts["a"], 92)
}

// TestLargestWeightsKeepTheirProportions guards against a sum of weights beyond 32 bits, whose
// product with the place in the sequence overflowed.
func TestLargestWeightsKeepTheirProportions(t *testing.T) {
	table := Compile([]Route{route("r", "h", "/", Part{"a", math.MaxUint32}, Part{"b", math.MaxUint32}, Part{"c", math.MaxUint32 / 2})}, nil, Limits{})
	r := table.Match("h", "/")
	counts := map[string]int{}
	for range 1000 {
		counts[r.NextService()]++
	}
	test.Between(t, 390, counts["a"], 410)
	test.Between(t, 390, counts["b"], 410)
	test.Between(t, 190, counts["c"], 210)
}

func TestPartWithZeroWeightGetsNoRequests(t *testing.T) {
	table := Compile([]Route{route("r", "h", "/", Part{"a", 0}, Part{"b", 3})}, nil, Limits{})
	for range 50 {
		must.Eq(t, "b", table.Match("h", "/").NextService())
	}
}

func BenchmarkCompile2000Routes(b *testing.B) {
	var routes []Route
	for i := range 2000 {
		routes = append(routes, route(fmt.Sprint(i), fmt.Sprintf("h%d.example", i%50), fmt.Sprintf("/p%d/", i), Part{"s", 1}))
	}
	b.ReportAllocs()
	for b.Loop() {
		Compile(routes, nil, Limits{})
	}
}
