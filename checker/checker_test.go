package checker_test

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/checker"
)

var update = flag.Bool("update", false, "write the golden files anew")

func readFile(t testing.TB, path string) *checker.File {
	t.Helper()
	if path == "" {
		return nil
	}
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	return &checker.File{Name: filepath.Base(path), Raw: raw}
}

func testdata(name string) string {
	if name == "" {
		return ""
	}
	return filepath.Join("testdata", name)
}

func requireGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := testdata(name)
	if *update {
		require.NoError(t, os.WriteFile(path, got, 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
}

// Guards against a finding that is lost, duplicated or reported at a wrong line or
// key, and against a change of the output that scripts read.
func TestReports(t *testing.T) {
	tests := []struct {
		name, file, settings, against string
	}{
		{"bundle that is refused", "bundle-faults.json", "", ""},
		{"bundle with limits that contradict each other", "bundle-limits.json", "deployment.json", "bundle-in-force.json"},
		{"settings that are refused", "settings-faults.json", "", ""},
		{"settings with limits that contradict each other", "settings-limits.json", "", ""},
		{"configuration", "configuration.json", "machine-sound.conf", "configuration-in-force.json"},
		{"machine whose settings are refused", "machine-faults.conf", "", ""},
		{"machine with times that contradict each other", "machine.conf", "", "machine-sound.conf"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, err := checker.Check(*readFile(t, testdata(tt.file)), checker.Options{
				Deployment: readFile(t, testdata(tt.settings)),
				Against:    readFile(t, testdata(tt.against)),
			})
			require.NoError(t, err)
			var text bytes.Buffer
			require.NoError(t, r.Print(&text))
			requireGolden(t, tt.file+".txt.golden", text.Bytes())
			raw, err := json.MarshalIndent(r, "", "  ")
			require.NoError(t, err)
			requireGolden(t, tt.file+".json.golden", append(raw, '\n'))
		})
	}
}

// Guards against false positives: the shipped examples are valid.
func TestExamplesAreClean(t *testing.T) {
	for _, name := range []string{"marktblick", "mtkvari"} {
		settings := readFile(t, "../examples/"+name+".json")
		bundle := readFile(t, "../examples/"+name+"-bundle.json")
		for _, f := range []*checker.File{settings, bundle} {
			r, err := checker.Check(*f, checker.Options{Against: f})
			require.NoError(t, err)
			require.Empty(t, r.Findings, f.Name)
		}
		r, err := checker.Check(*bundle, checker.Options{Deployment: settings})
		require.NoError(t, err)
		require.Empty(t, r.Findings, bundle.Name)
	}
}

// Each case introduces one fault into an example. Guards against a rule that does not
// report it, and against one that reports others as well.
func TestOneFault(t *testing.T) {
	const bundle, settings = "../examples/marktblick-bundle.json", "../examples/marktblick.json"
	tests := []struct {
		name, file, old, new string
		want                 []string
	}{
		{"no JSON", bundle, `"Version": 1,`, `"Version": 1`, []string{`:3: Fault: no JSON: invalid character '"' after object key:value pair`}},
		{"text that ends early", bundle, "  }\n}", "", []string{`Fault: no JSON: the text ends too early`}},
		{"unknown key", bundle, `"Repeatable"`, `"Repeated"`, []string{`:11: Fault: Services[0].Repeated: no such key`}},
		{"wrong type of an object", bundle, `"Limits": {`, `"Limits": 7, "Limits": {`, []string{`:42: Unmatched: Limits: the same key in line 42 takes precedence`, `:42: Fault: Limits: found a JSON number, allowed approver.Limits`}},
		{"fraction", bundle, `"EjectPercent": 30`, `"EjectPercent": 30.5`, []string{`:44: Fault: Limits.EjectPercent: found a JSON number 30.5, allowed int`}},
		{"list in place of an object", bundle, `"Limits": {`, `"Limits": [], "X": {`, []string{`:42: Fault: Limits: found a JSON array, allowed approver.Limits`, `:42: Fault: X: no such key`}},
		{"value out of range", bundle, `"EjectPercent": 30`, `"EjectPercent": -1`, []string{`:44: Fault: Limits.EjectPercent: found -1, allowed 0 to 100`}},
		{"service wider than any team", bundle, `100000`, `1000`, nil},
		{"service wider than the queue", bundle, `"WaitingTaskLimit": 100000`, `"WaitingTaskLimit": 1000`, []string{`:8: Contradiction: Services[0].TaskLimit: a job of 1100 tasks is always refused: Limits.WaitingTaskLimit is 1000`}},
		{"deadline below the run", bundle, `60000`, `200`, []string{`:9: Contradiction: Services[0].DeadlineLimitMillis: 200 is below ExpectedRunMillis, 300: by this first guess`}},
		{"repeatable service whose deadline is below two runs", bundle, `60000`, `599`, nil},
		{"deadline of two runs", bundle, `60000`, `600`, nil},
		{"service that nobody runs", bundle, `"price-report"`, `"price-reports"`, []string{`:7: Unmatched: Services[0].Name: no upstream of the settings runs "price-reports"`}},
		{"no worker is ever set aside", bundle, `"EjectPercent": 30`, `"EjectPercent": 9`, []string{`:44: Contradiction: Limits.EjectPercent: 9 percent of 11 agents is less than one`}},
		{"ejection switched off", bundle, `"EjectPercent": 30`, `"EjectPercent": 0`, nil},
		{"address used twice", settings, `127.0.0.1:23012`, `127.0.0.1:23011`, []string{`:14: Fault: Entries[1].Listen: found "127.0.0.1:23011", allowed an address not used by Entries[0].Listen`}},
		{"no approver", settings, `"example-approver": "yN4GWvcyX8biFUY/H9qM3RlOT/P39phD3bZV0oiLh20="`, ``, []string{`:3: Unmatched: Trust: no approver`}},
		{"more slots than connections", settings, `"Slots": 8`, `"Slots": 65`, []string{`Contradiction: Upstreams[0].Slots: 65 cannot run at once over 64 connections`}},
		{"two upstreams at one agent", settings, `"Agent": "agent-2"`, `"Agent": "agent-1"`, []string{`Unmatched: Upstreams[1].Agent: worker-1 is beside agent-1 already`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := readFile(t, tt.file)
			require.Contains(t, string(f.Raw), tt.old)
			f.Raw = []byte(strings.Replace(string(f.Raw), tt.old, tt.new, 1))
			var o checker.Options
			if tt.file == bundle {
				o.Deployment = readFile(t, settings)
			}
			r, err := checker.Check(*f, o)
			require.NoError(t, err)
			require.Len(t, r.Findings, len(tt.want))
			for i, want := range tt.want {
				require.Contains(t, r.Findings[i].String(), want)
			}
		})
	}
}

// Guards against a finding on the service if just one team has a small limit.
func TestServiceIsWiderThanAnyTeam(t *testing.T) {
	f := readFile(t, "../examples/mtkvari-bundle.json")
	f.Raw = bytes.ReplaceAll(f.Raw, []byte(`"TaskLimit": 100000`), []byte(`"TaskLimit": 1000`))
	r, err := checker.Check(*f, checker.Options{})
	require.NoError(t, err)
	require.Len(t, r.Findings, 1)
	require.Equal(t, checker.Finding{
		File: f.Name, Line: 8, Key: "Services[0].TaskLimit", Kind: checker.Contradiction,
		Text: "no team can submit 1100 tasks: the largest TaskLimit of Teams is 1000",
	}, r.Findings[0])
}

// signedExample returns an example bundle, signed, and the settings of its deployment.
func signedExample(t *testing.T) (approver.SignedBundle, *checker.File) {
	t.Helper()
	b, err := approver.Parse(readFile(t, "../examples/marktblick-bundle.json").Raw)
	require.NoError(t, err)
	text, err := os.ReadFile("../examples/example-approver.key")
	require.NoError(t, err)
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	require.NoError(t, err)
	s, err := approver.Sign(b, "example-approver", ed25519.NewKeyFromSeed(seed))
	require.NoError(t, err)
	return s, readFile(t, "../examples/marktblick.json")
}

// Guards against a signed bundle that is deployed although entries would reject it, and
// against keys and lines that are relative to the bundle instead of the file.
func TestSignedBundle(t *testing.T) {
	validExample, settings := signedExample(t)
	tests := []struct {
		name   string
		change func(string) string
		want   []string
	}{
		{"valid", func(s string) string { return s }, nil},
		{"altered", func(s string) string {
			return strings.Replace(s, `"TaskLimit": 1100`, `"TaskLimit": 1099`, 1)
		}, []string{`signed.json:50: Fault: Signature: verify bundle: the signature of "example-approver" does not match: the bundle was altered or signed with another key`}},
		{"fault in the bundle", func(s string) string {
			return strings.Replace(s, `"TaskLimit": 1100`, `"TaskLimit": 0`, 1)
		}, []string{`signed.json:9: Fault: Bundle.Services[0].TaskLimit: found 0, allowed 1 to 1100`}},
		{"no bundle", func(string) string { return `{"Approver": "example-approver", "Signature": ""}` }, []string{`signed.json:1: Fault: Bundle: found none, allowed a bundle`}},
	}
	raw, err := json.MarshalIndent(validExample, "", "  ")
	require.NoError(t, err)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := checker.File{Name: "signed.json", Raw: []byte(tt.change(string(raw)))}
			r, err := checker.Check(f, checker.Options{Deployment: settings})
			require.NoError(t, err)
			var got []string
			for _, f := range r.Findings {
				got = append(got, f.String())
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// Guards against differences in form only: approval, order and white space.
func TestSignedBundleIsComparedByItsContent(t *testing.T) {
	s, _ := signedExample(t)
	raw, err := json.Marshal(s)
	require.NoError(t, err)
	f := checker.File{Name: "signed.json", Raw: raw}
	r, err := checker.Check(f, checker.Options{Against: readFile(t, "../examples/marktblick-bundle.json")})
	require.NoError(t, err)
	require.Empty(t, r.Findings)
}

// Guards against a report on a file that could not be checked.
func TestWhatCannotBeChecked(t *testing.T) {
	bundle := readFile(t, "../examples/marktblick-bundle.json")
	settings := readFile(t, "../examples/marktblick.json")
	undecodable := &checker.File{Name: "undecodable.json", Raw: []byte(`{"Version": "one"}`)}
	broken := &checker.File{Name: "broken.json", Raw: []byte("{")}
	other := &checker.File{Name: "other.json", Raw: []byte(`{"Seed": 1}`)}
	tests := []struct {
		name string
		file *checker.File
		o    checker.Options
		kind checker.ErrorKind
		want string
	}{
		{"another form", other, checker.Options{}, checker.Unknown, "other.json"},
		{"no object", &checker.File{Name: "list.json", Raw: []byte("[1]")}, checker.Options{}, checker.Unknown, "list.json"},
		{"version in force is broken", bundle, checker.Options{Against: broken}, checker.Unreadable, "broken.json: no JSON"},
		{"version in force cannot be decoded", bundle, checker.Options{Against: undecodable}, checker.Unreadable, "undecodable.json"},
		{"version in force is of another form", bundle, checker.Options{Against: settings}, checker.Mismatched, "found a file of the form Settings, allowed Bundle"},
		{"version in force is unknown", bundle, checker.Options{Against: other}, checker.Unknown, "other.json"},
		{"settings are refused", bundle, checker.Options{Deployment: broken}, checker.Unreadable, "broken.json"},
		{"settings of settings", settings, checker.Options{Deployment: settings}, checker.Mismatched, "compared with a bundle"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := checker.Check(*tt.file, tt.o)
			var e *checker.Error
			require.ErrorAs(t, err, &e)
			require.Equal(t, tt.kind, e.Kind)
			require.ErrorContains(t, err, tt.want)
		})
	}
}

// samples returns all test data and example files.
func samples(t testing.TB) []*checker.File {
	t.Helper()
	var out []*checker.File
	for _, pattern := range []string{"testdata/*.json", "testdata/*.conf", "../examples/*.json"} {
		paths, err := filepath.Glob(pattern)
		require.NoError(t, err)
		for _, path := range paths {
			out = append(out, readFile(t, path))
		}
	}
	return out
}

// requireInvariants checks the invariants for any input: no panic, line numbers within
// the file, and the same report on a second run.
func requireInvariants(t require.TestingT, f checker.File, o checker.Options) {
	r, err := checker.Check(f, o)
	second, errAgain := checker.Check(f, o)
	require.Equal(t, err, errAgain)
	require.Equal(t, r, second)
	lines := 1 + bytes.Count(f.Raw, []byte("\n"))
	for _, found := range r.Findings {
		require.GreaterOrEqual(t, found.Line, 1)
		require.LessOrEqual(t, found.Line, lines)
		require.NotEmpty(t, found.Kind)
		require.NotEmpty(t, found.String())
	}
	if err == nil {
		require.NoError(t, r.Print(&bytes.Buffer{}))
	}
}

// Guards against inputs that make the checker panic or report a line that the file does
// not have: samples in which random pieces are removed, inserted or replaced.
func TestNoInputPanics(t *testing.T) {
	files := samples(t)
	pieces := []string{"", "null", "{}", "[]", "-1", "1e400", `"x"`, "0", `{"Name":null}`, "\n", "\x00", "}", "]", ","}
	rapid.Check(t, func(t *rapid.T) {
		f := *rapid.SampledFrom(files).Draw(t, "file")
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			from := rapid.IntRange(0, len(f.Raw)).Draw(t, "from")
			to := rapid.IntRange(from, min(len(f.Raw), from+60)).Draw(t, "to")
			piece := rapid.SampledFrom(pieces).Draw(t, "piece")
			f.Raw = bytes.Join([][]byte{f.Raw[:from], f.Raw[to:]}, []byte(piece))
		}
		var o checker.Options
		if rapid.Bool().Draw(t, "compare") {
			o.Against = rapid.SampledFrom(files).Draw(t, "against")
		}
		if rapid.Bool().Draw(t, "judge") {
			o.Deployment = rapid.SampledFrom(files).Draw(t, "deployment")
		}
		requireInvariants(t, f, o)
	})
}

// memberPattern matches the name of an object's member, then its scalar value or the
// opening bracket of its value.
var memberPattern = regexp.MustCompile(`("\w+":\s*)([^\s,{}\[\]]+|[{\[])`)

// Guards against values that make the checker panic: replaces one value of a sample at
// a time, so that most of the text stays well formed.
func TestNoValuePanics(t *testing.T) {
	values := []string{"null", "{}", "[]", "[null]", `{"":{}}`, "-1", "0", "1e18", "true", `""`, `"x"`}
	for _, f := range samples(t) {
		if len(f.Raw) > 2000 {
			continue
		}
		for _, at := range memberPattern.FindAllSubmatchIndex(f.Raw, -1) {
			for _, v := range values {
				raw := slices.Concat(f.Raw[:at[4]], []byte(v), f.Raw[at[5]:])
				requireInvariants(t, checker.File{Name: f.Name, Raw: raw}, checker.Options{Against: f})
			}
		}
	}
}

// Guards against a cost of deep nesting that is out of proportion to the file's size.
func TestDeepNesting(t *testing.T) {
	const depth = 9000
	raw := `{"Version": ` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + `}`
	f := checker.File{Name: "deep.json", Raw: []byte(raw)}
	r, err := checker.Check(f, checker.Options{Against: &f})
	require.NoError(t, err)
	require.Contains(t, r.Findings[0].String(), "Version: found a JSON array, allowed uint64")
}

func FuzzCheck(f *testing.F) {
	files := samples(f)
	for _, s := range files {
		f.Add(s.Raw, []byte(nil))
		f.Add(s.Raw, files[0].Raw)
	}
	f.Fuzz(func(t *testing.T, raw, against []byte) {
		var o checker.Options
		if len(against) > 0 {
			o.Against = &checker.File{Name: "against", Raw: against}
		}
		requireInvariants(t, checker.File{Name: "file", Raw: raw}, o)
	})
}
