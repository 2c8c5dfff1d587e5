// Package configurer reads the settings of a deployment: which processes there
// are, where they listen, and whom they trust. The settings are checked as a
// whole before anything is served.
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
)

// Entry is the settings of one entry.
type Entry struct {
	ID         string
	DataCentre string
	// Listen is the host and port for callers and operators.
	Listen string
	// Link is the host and port for agents and other entries.
	Link string
}

// Agent is the settings of one agent.
type Agent struct {
	ID         string
	DataCentre string
	Rack       string
	// Listen is the host and port for the upstream and for operators.
	Listen string
}

// Upstream is the settings of one stand-in for an upstream.
type Upstream struct {
	ID string
	// Agent is the ID of the agent beside it.
	Agent       string
	Listen      string
	Slots       int
	Connections int
	Services    []string
}

// Settings is one deployment.
type Settings struct {
	// Store is the URL of the platform's key-value service.
	Store string
	// Trust maps the names of approvers to Ed25519 public keys in base64.
	Trust     approver.Trust
	Entries   []Entry
	Agents    []Agent
	Upstreams []Upstream
}

// The limits of values in settings.
const (
	maxSlots       = 1024
	maxConnections = 65535
)

var idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Load reads and checks the settings in the file at path.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{Op: "read", Kind: Unreadable, File: path, Err: err}
	}
	return Parse(path, raw)
}

// Parse reads and checks settings; path names their source in errors.
func Parse(path string, raw []byte) (Settings, error) {
	s, err := Decode(raw)
	if err != nil {
		return Settings{}, &Error{Op: "parse", Kind: Invalid, File: path, Err: describe(err)}
	}
	faults := s.Faults()
	if len(faults) == 0 {
		return s, nil
	}
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, f.String())
	}
	return Settings{}, &Error{Op: "check", Kind: Invalid, File: path, Err: errors.New(strings.Join(lines, "; "))}
}

// Decode reads settings without checking their values. Its errors are those
// of encoding/json.
func Decode(raw []byte) (Settings, error) {
	var s Settings
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// describe names the key at fault where the decoder knows it.
func describe(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return errors.Errorf("%s: found a JSON %s, allowed %s", wrong.Field, wrong.Value, wrong.Type)
	}
	return err
}

// Entry returns the settings of the entry called id.
func (s Settings) Entry(id string) (Entry, error) {
	for _, e := range s.Entries {
		if e.ID == id {
			return e, nil
		}
	}
	return Entry{}, &Error{Op: "find", Kind: Invalid, Err: errors.Errorf("Entries: found no ID %q", id)}
}

// Agent returns the settings of the agent called id.
func (s Settings) Agent(id string) (Agent, error) {
	for _, a := range s.Agents {
		if a.ID == id {
			return a, nil
		}
	}
	return Agent{}, &Error{Op: "find", Kind: Invalid, Err: errors.Errorf("Agents: found no ID %q", id)}
}

// Upstream returns the settings of the upstream called id.
func (s Settings) Upstream(id string) (Upstream, error) {
	for _, u := range s.Upstreams {
		if u.ID == id {
			return u, nil
		}
	}
	return Upstream{}, &Error{Op: "find", Kind: Invalid, Err: errors.Errorf("Upstreams: found no ID %q", id)}
}

// LinkAddresses returns where the entries take links.
func (s Settings) LinkAddresses() []string {
	var out []string
	for _, e := range s.Entries {
		out = append(out, e.Link)
	}
	return out
}

// Fault is one value of the settings that is not allowed.
type Fault struct {
	// Key is the path of the value, such as Entries[0].Listen.
	Key string
	// Text tells the value found and what is allowed.
	Text string
}

// String returns the fault in a line.
func (f Fault) String() string { return f.Key + ": " + f.Text }

// checker gathers faults and the names and addresses seen so far.
type checker struct {
	faults    []Fault
	addresses map[string]string
	ids       map[string]string
}

func (c *checker) add(key string, found any, allowed string) {
	c.faults = append(c.faults, Fault{Key: key, Text: fmt.Sprintf("found %#v, allowed %s", found, allowed)})
}

// Faults lists every fault of s.
func (s Settings) Faults() []Fault {
	c := &checker{addresses: make(map[string]string), ids: make(map[string]string)}
	u, err := url.Parse(s.Store)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		c.add("Store", s.Store, "an http or https URL")
	}
	for _, name := range slices.Sorted(maps.Keys(s.Trust)) {
		key := s.Trust[name]
		raw, err := base64.StdEncoding.DecodeString(key)
		if err != nil || len(raw) != 32 {
			c.add("Trust."+name, key, "an Ed25519 public key of 32 bytes in base64")
		}
	}
	if len(s.Entries) == 0 {
		c.add("Entries", len(s.Entries), "at least one")
	}
	for i, e := range s.Entries {
		path := fmt.Sprintf("Entries[%d]", i)
		c.id(path+".ID", e.ID)
		c.name(path+".DataCentre", e.DataCentre)
		c.address(path+".Listen", e.Listen)
		c.address(path+".Link", e.Link)
	}
	agents := s.checkAgents(c)
	s.checkUpstreams(c, agents)
	return c.faults
}

func (s Settings) checkAgents(c *checker) map[string]bool {
	agents := make(map[string]bool)
	for i, a := range s.Agents {
		path := fmt.Sprintf("Agents[%d]", i)
		c.id(path+".ID", a.ID)
		c.name(path+".DataCentre", a.DataCentre)
		c.name(path+".Rack", a.Rack)
		c.address(path+".Listen", a.Listen)
		agents[a.ID] = true
	}
	return agents
}

func (s Settings) checkUpstreams(c *checker, agents map[string]bool) {
	for i, u := range s.Upstreams {
		path := fmt.Sprintf("Upstreams[%d]", i)
		c.id(path+".ID", u.ID)
		c.address(path+".Listen", u.Listen)
		if !agents[u.Agent] {
			c.add(path+".Agent", u.Agent, "the ID of one of Agents")
		}
		c.between(path+".Slots", u.Slots, 1, maxSlots)
		c.between(path+".Connections", u.Connections, 1, maxConnections)
		if len(u.Services) == 0 {
			c.add(path+".Services", u.Services, "at least one service")
		}
	}
}

func (c *checker) id(key, id string) {
	c.name(key, id)
	if other := c.ids[id]; other != "" {
		c.add(key, id, "an ID not used by "+other)
	}
	c.ids[id] = key
}

func (c *checker) name(key, name string) {
	if !idPattern.MatchString(name) {
		c.add(key, name, "1 to 63 lower-case letters, digits and hyphens")
	}
}

func (c *checker) between(key string, n, low, high int) {
	if n < low || n > high {
		c.add(key, n, fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) address(key, addr string) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		c.add(key, addr, "an IP number and a port")
		return
	}
	if other := c.addresses[addr]; other != "" {
		c.add(key, addr, "an address not used by "+other)
	}
	c.addresses[addr] = key
}
