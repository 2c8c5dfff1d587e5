package configurer_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pomeloferry/pomeloferry/configurer"
)

const validSettings = `{
  "Store": "http://127.0.0.1:2379",
  "Entries": [{"ID": "entry-1", "DataCentre": "wien", "Listen": "127.0.0.1:1", "Link": "127.0.0.1:2"}],
  "Agents": [{"ID": "agent-1", "DataCentre": "wien", "Rack": "rack-1", "Listen": "127.0.0.1:3"}],
  "Upstreams": [{"ID": "worker-1", "Agent": "agent-1", "Listen": "127.0.0.1:4", "Slots": 8, "Connections": 64, "Services": ["quote"]}]
}`

func TestParse(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     string
	}{
		{"good", "", "", ""},
		{"unknown key", `"Slots"`, `"Slotz"`, `unknown field "Slotz"`},
		{"wrong type", `"Slots": 8`, `"Slots": "8"`, "Upstreams.Slots: found a JSON string, allowed int"},
		{"out of range", `"Slots": 8`, `"Slots": 2000`, "Upstreams[0].Slots: found 2000, allowed 1 to 1024"},
		{"address used twice", "127.0.0.1:4", "127.0.0.1:1", "an address not used by Entries[0].Listen"},
		{"host name", "127.0.0.1:1", "localhost:1", `Entries[0].Listen: found "localhost:1", allowed an IP number and a port`},
		{"no such agent", `"Agent": "agent-1"`, `"Agent": "agent-2"`, `Upstreams[0].Agent: found "agent-2"`},
		{"ID used twice", `"ID": "worker-1"`, `"ID": "agent-1"`, "an ID not used by Agents[0].ID"},
		{"no store", "http://127.0.0.1:2379", "127.0.0.1", `Store: found "127.0.0.1"`},
		{"too little memory", `"Entries"`, `"Limits": {"MemoryMB": 10}, "Entries"`, "Limits.MemoryMB: found 10, allowed 64 to 1000000"},
		{"too few sockets", `"Entries"`, `"Limits": {"Sockets": -1}, "Entries"`, "Limits.Sockets: found -1, allowed 64 to 1000000"},
		{"bad key", `"Entries"`, `"Trust": {"berta": "x"}, "Entries"`, `Trust.berta: found "x"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := configurer.Parse("settings.json", []byte(strings.Replace(validSettings, tt.old, tt.new, 1)))
			if tt.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, "settings settings.json")
			require.ErrorContains(t, err, tt.want)
		})
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"marktblick", "mtkvari"} {
		s, err := configurer.Load("../examples/" + name + ".json")
		require.NoError(t, err)
		require.Len(t, s.Upstreams, 11)
		require.Len(t, s.Entries, 3)
	}
}
