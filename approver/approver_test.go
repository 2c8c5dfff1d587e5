package approver_test

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/approver"
)

func newBundle() approver.Bundle {
	return approver.Bundle{
		Version:     1,
		Author:      "anna",
		Note:        "a < b & c",
		Services:    []approver.Service{{Name: "quote", TaskLimit: 10, DeadlineLimitMillis: 1000, ExpectedRunMillis: 300}},
		DataCentres: []approver.DataCentre{{Name: "wien", State: approver.In}},
		Teams:       []approver.Team{{Name: "team", TaskLimit: 10}},
		Limits:      approver.Limits{WaitingTaskLimit: 10, EjectPercent: 30, RetryPercent: 10},
	}
}

func newKey(t *testing.T) (ed25519.PrivateKey, approver.ApproverKeys) {
	t.Helper()
	public, private, err := ed25519.GenerateKey(strings.NewReader(strings.Repeat("seed", 16)))
	require.NoError(t, err)
	return private, approver.ApproverKeys{"berta": base64.StdEncoding.EncodeToString(public)}
}

func TestVerify(t *testing.T) {
	key, trust := newKey(t)
	signed, err := approver.Sign(newBundle(), "berta", key)
	require.NoError(t, err)
	tests := []struct {
		name   string
		change func(*approver.SignedBundle)
		want   string
	}{
		{"unchanged", func(*approver.SignedBundle) {}, ""},
		{"indented", func(s *approver.SignedBundle) { s.Bundle, _ = json.MarshalIndent(s.Bundle, "", "  ") }, ""},
		{"unsigned", func(s *approver.SignedBundle) { s.Signature = "" }, "not signed"},
		{"altered", func(s *approver.SignedBundle) {
			s.Bundle = json.RawMessage(strings.Replace(string(s.Bundle), `"TaskLimit":10`, `"TaskLimit":11`, 1))
		}, "does not match"},
		{"unknown approver", func(s *approver.SignedBundle) { s.Approver = "carl" }, `approver "carl" is not in the settings`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := signed
			tt.change(&s)
			b, err := trust.Verify(s)
			if tt.want == "" {
				require.NoError(t, err)
				require.Equal(t, newBundle(), b)
				return
			}
			require.ErrorContains(t, err, tt.want)
		})
	}
}

func TestSignRefusesTheAuthor(t *testing.T) {
	key, _ := newKey(t)
	_, err := approver.Sign(newBundle(), "anna", key)
	require.ErrorContains(t, err, `author "anna" may not approve`)
}

func TestParseNamesEveryFault(t *testing.T) {
	b := newBundle()
	b.Services[0].TaskLimit = 1101
	b.DataCentres[0].State = "Gone"
	b.Teams = nil
	raw, err := json.Marshal(b)
	require.NoError(t, err)
	_, err = approver.Parse(raw)
	require.ErrorContains(t, err, "Services[0].TaskLimit: found 1101, allowed 1 to 1100")
	require.ErrorContains(t, err, `DataCentres[0].State: found "Gone", allowed In or Out`)
	require.ErrorContains(t, err, "Teams: found 0, allowed 1 to 1000 teams")
}
