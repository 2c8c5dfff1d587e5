package checker_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pomeloferry/pomeloferry/checker"
	"github.com/pomeloferry/pomeloferry/platform"
)

type route struct {
	Name    string  `json:"name"`
	Host    string  `json:"host"`
	Prefix  string  `json:"prefix"`
	Stretch float64 `json:"stretch"`
}

// Guards against a queue that is called covered although requests reach it, and
// against one that is passed over although none does: the entries' own choice of
// a queue is the judge.
func TestCoveredQueuesAreThoseThatNoRequestReaches(t *testing.T) {
	prefixes := []string{"", "/", "/q", "/q/", "/q/long/", "q/"}
	rapid.Check(t, func(t *rapid.T) {
		var routes []route
		for i := range rapid.IntRange(1, 8).Draw(t, "routes") {
			routes = append(routes, route{
				Name:    fmt.Sprint("r", i),
				Host:    rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "host"),
				Prefix:  rapid.SampledFrom(prefixes).Draw(t, "prefix"),
				Stretch: 1.6,
			})
		}
		raw, err := json.Marshal(map[string]any{"version": 1, "routes": routes})
		require.NoError(t, err)
		c, err := platform.ReadConfiguration(raw)
		require.NoError(t, err)
		reached := make(map[string]bool)
		for _, host := range []string{"a", "b"} {
			for _, prefix := range prefixes {
				path := "/" + strings.TrimPrefix(prefix, "/")
				for _, rest := range []string{"", "0", "x/0"} {
					if q, _, ok := c.Find(host, path+rest); ok {
						reached[q.Name] = true
					}
				}
			}
		}
		r, err := checker.Check(checker.File{Name: "c.json", Raw: raw}, checker.Options{})
		require.NoError(t, err)
		told := make(map[string]bool)
		for _, f := range r.Findings {
			require.Equal(t, checker.Unmatched, f.Kind, f)
			told[f.Key[:strings.IndexByte(f.Key, '.')]] = true
		}
		for i, rt := range routes {
			require.NotEqual(t, reached[rt.Name], told[fmt.Sprintf("routes[%d]", i)], "%s in %s: %v", rt.Name, raw, r.Findings)
		}
	})
}
