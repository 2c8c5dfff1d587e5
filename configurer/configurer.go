// Package configurer reads the settings of a deployment: its processes, their
// addresses and the approvers that they trust. All settings are checked before a
// process serves requests.
package configurer

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/pomeloferry/pomeloferry/approver"
	"github.com/pomeloferry/pomeloferry/limiter"
)

// Entry holds the settings of one entry.
type Entry struct {
	ID         string
	DataCentre string
	// Listen is the address (host and port) for callers and operators.
	Listen string
	// Link is the address (host and port) for agents and other entries.
	Link string
}

// Agent holds the settings of one agent.
type Agent struct {
	ID         string
	DataCentre string
	Rack       string
	// Listen is the address (host and port) for the upstream and for operators.
	Listen string
}

// Upstream holds the settings of one emulated upstream.
type Upstream struct {
	ID string
	// Agent is the ID of the agent beside it.
	Agent       string
	Listen      string
	Slots       int
	Connections int
	Services    []string
}

// Settings describes a deployment.
type Settings struct {
	// Store is the URL of the platform's key-value service.
	Store string
	// Trust maps the names of approvers to base64-encoded Ed25519 public keys.
	Trust     approver.ApproverKeys
	Entries   []Entry
	Agents    []Agent
	Upstreams []Upstream
	// Limits are those of each process.
	Limits Limits
}

// Limits is what each process may take of its instance. A value of 0 means the default.
type Limits struct {
	// MemoryMB is its memory, in megabytes; 256 by default.
	MemoryMB int64 `json:",omitempty"`
	// Sockets is the number of its sockets; 4096 by default.
	Sockets int `json:",omitempty"`
}

// Instance returns what each process may take of its instance.
func (s Settings) Instance() limiter.Instance {
	return limiter.Instance{MemoryBytes: s.Limits.MemoryMB * limiter.BytesPerMegabyte, Sockets: s.Limits.Sockets}
}

// The smallest and the largest allowed values in settings.
const (
	maxSlots       = 1024
	maxConnections = 65535
	minMemoryMB    = 64
	maxMemoryMB    = 1_000_000
	minSockets     = 64
	maxSockets     = 1_000_000
)

var idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Load reads and checks the settings in the file at path. Its errors are of type
// *Error, with the kind Unreadable or Invalid.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{Op: "read", Kind: Unreadable, File: path, Err: err}
	}
	return Parse(path, raw)
}

// Parse decodes and checks settings; path is their source in errors, which are of
// type *Error with the kind Invalid.
func Parse(path string, raw []byte) (Settings, error) {
	s, err := Decode(raw)
	if err != nil {
		return Settings{}, &Error{Op: "parse", Kind: Invalid, File: path, Err: addKeyToTypeError(err)}
	}
	invalid := s.InvalidValues()
	if len(invalid) == 0 {
		return s, nil
	}
	lines := make([]string, 0, len(invalid))
	for _, f := range invalid {
		lines = append(lines, f.String())
	}
	return Settings{}, &Error{Op: "check", Kind: Invalid, File: path, Err: errors.New(strings.Join(lines, "; "))}
}

// Decode decodes settings without checking their values. It returns the errors of
// encoding/json, also for unknown keys.
func Decode(raw []byte) (Settings, error) {
	var s Settings
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// addKeyToTypeError adds the key to an error of the decoder that knows it.
func addKeyToTypeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return errors.Errorf("%s: found a JSON %s, allowed %s", typeError.Field, typeError.Value, typeError.Type)
	}
	return err
}

// Entry returns the settings of the entry with the given ID.
func (s Settings) Entry(id string) (Entry, error) {
	for _, e := range s.Entries {
		if e.ID == id {
			return e, nil
		}
	}
	return Entry{}, &Error{Op: "find", Kind: Invalid, Err: errors.Errorf("Entries: no entry with ID %q", id)}
}

// Agent returns the settings of the agent with the given ID.
func (s Settings) Agent(id string) (Agent, error) {
	for _, a := range s.Agents {
		if a.ID == id {
			return a, nil
		}
	}
	return Agent{}, &Error{Op: "find", Kind: Invalid, Err: errors.Errorf("Agents: no agent with ID %q", id)}
}

// Upstream returns the settings of the upstream with the given ID.
func (s Settings) Upstream(id string) (Upstream, error) {
	for _, u := range s.Upstreams {
		if u.ID == id {
			return u, nil
		}
	}
	return Upstream{}, &Error{Op: "find", Kind: Invalid, Err: errors.Errorf("Upstreams: no upstream with ID %q", id)}
}

// LinkAddresses returns the addresses at which the entries accept links.
func (s Settings) LinkAddresses() []string {
	var out []string
	for _, e := range s.Entries {
		out = append(out, e.Link)
	}
	return out
}

// InvalidValue is an invalid value in the settings.
type InvalidValue struct {
	// Key is the path of the value, such as Entries[0].Listen.
	Key string
	// Problem states the value found and the allowed values.
	Problem string
}

// String returns the key and the problem on one line.
func (f InvalidValue) String() string { return f.Key + ": " + f.Problem }

// validator collects invalid values, and the IDs and addresses seen so far, each with
// the path at which it is used.
type validator struct {
	invalid   []InvalidValue
	addresses map[string]string
	ids       map[string]string
}

func (v *validator) addInvalid(key string, found any, allowed string) {
	v.invalid = append(v.invalid, InvalidValue{Key: key, Problem: fmt.Sprintf("found %#v, allowed %s", found, allowed)})
}

// InvalidValues returns every invalid value of s.
func (s Settings) InvalidValues() []InvalidValue {
	v := &validator{addresses: make(map[string]string), ids: make(map[string]string)}
	u, err := url.Parse(s.Store)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		v.addInvalid("Store", s.Store, "an http or https URL")
	}
	for _, name := range slices.Sorted(maps.Keys(s.Trust)) {
		key := s.Trust[name]
		raw, err := base64.StdEncoding.DecodeString(key)
		if err != nil || len(raw) != 32 {
			v.addInvalid("Trust."+name, key, "an Ed25519 public key of 32 bytes in base64")
		}
	}
	if len(s.Entries) == 0 {
		v.addInvalid("Entries", len(s.Entries), "at least one")
	}
	for i, e := range s.Entries {
		path := fmt.Sprintf("Entries[%d]", i)
		v.checkID(path+".ID", e.ID)
		v.checkName(path+".DataCentre", e.DataCentre)
		v.checkAddress(path+".Listen", e.Listen)
		v.checkAddress(path+".Link", e.Link)
	}
	agents := s.checkAgents(v)
	s.checkUpstreams(v, agents)
	if s.Limits.MemoryMB != 0 {
		v.checkRange("Limits.MemoryMB", int(s.Limits.MemoryMB), minMemoryMB, maxMemoryMB)
	}
	if s.Limits.Sockets != 0 {
		v.checkRange("Limits.Sockets", s.Limits.Sockets, minSockets, maxSockets)
	}
	return v.invalid
}

func (s Settings) checkAgents(v *validator) map[string]bool {
	agents := make(map[string]bool)
	for i, a := range s.Agents {
		path := fmt.Sprintf("Agents[%d]", i)
		v.checkID(path+".ID", a.ID)
		v.checkName(path+".DataCentre", a.DataCentre)
		v.checkName(path+".Rack", a.Rack)
		v.checkAddress(path+".Listen", a.Listen)
		agents[a.ID] = true
	}
	return agents
}

func (s Settings) checkUpstreams(v *validator, agents map[string]bool) {
	for i, u := range s.Upstreams {
		path := fmt.Sprintf("Upstreams[%d]", i)
		v.checkID(path+".ID", u.ID)
		v.checkAddress(path+".Listen", u.Listen)
		if !agents[u.Agent] {
			v.addInvalid(path+".Agent", u.Agent, "the ID of one of Agents")
		}
		v.checkRange(path+".Slots", u.Slots, 1, maxSlots)
		v.checkRange(path+".Connections", u.Connections, 1, maxConnections)
		if len(u.Services) == 0 {
			v.addInvalid(path+".Services", u.Services, "at least one service")
		}
	}
}

func (v *validator) checkID(key, id string) {
	v.checkName(key, id)
	if other := v.ids[id]; other != "" {
		v.addInvalid(key, id, "an ID not used by "+other)
	}
	v.ids[id] = key
}

func (v *validator) checkName(key, name string) {
	if !idPattern.MatchString(name) {
		v.addInvalid(key, name, "1 to 63 lower-case letters, digits and hyphens")
	}
}

func (v *validator) checkRange(key string, n, low, high int) {
	if n < low || n > high {
		v.addInvalid(key, n, fmt.Sprintf("%d to %d", low, high))
	}
}

func (v *validator) checkAddress(key, addr string) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		v.addInvalid(key, addr, "an IP number and a port")
		return
	}
	if other := v.addresses[addr]; other != "" {
		v.addInvalid(key, addr, "an address not used by "+other)
	}
	v.addresses[addr] = key
}
