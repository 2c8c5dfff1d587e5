// Package approver holds the configuration bundle: what it may contain, who
// may approve it, and how a signed one is told from an altered one.
package approver

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"

	"github.com/go-faster/errors"
)

// DataCentreState tells whether tasks may start in a data centre.
type DataCentreState string

// The states of a data centre.
const (
	In  DataCentreState = "In"
	Out DataCentreState = "Out"
)

// Service is one stream of requests.
type Service struct {
	Name string
	// TaskLimit is the largest number of tasks in one submission.
	TaskLimit int
	// DeadlineLimitMillis bounds how far ahead a deadline may lie.
	DeadlineLimitMillis int
	// ExpectedRunMillis is a first guess of a task's run time. The system
	// learns better ones.
	ExpectedRunMillis int
	// Repeatable tells that a request may be submitted again after an unknown
	// outcome. The system itself never starts a task twice either way.
	Repeatable bool
}

// DataCentre is one data centre and its state.
type DataCentre struct {
	Name  string
	State DataCentreState
}

// Team is one group of callers that shares a quota.
type Team struct {
	Name string
	// TaskLimit bounds the team's unfinished tasks at one entry.
	TaskLimit int
}

// Limits holds the bounds that protect the system as a whole.
type Limits struct {
	// WaitingTaskLimit bounds the tasks that wait at one entry.
	WaitingTaskLimit int
	// EjectPercent bounds the share of workers that are set aside for failing.
	EjectPercent int
	// RetryPercent bounds the starts repeated after a refusal, as a share of
	// the first starts.
	RetryPercent int
}

// Bundle is one version of the whole configuration. It is immutable: the With
// methods return changed copies.
type Bundle struct {
	// Version is one more than the version that it replaces.
	Version     uint64
	Author      string
	Note        string `json:",omitempty"`
	Services    []Service
	DataCentres []DataCentre
	Teams       []Team
	Limits      Limits
}

// Service returns the service called name.
func (b Bundle) Service(name string) (Service, bool) {
	for _, s := range b.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Team returns the team called name.
func (b Bundle) Team(name string) (Team, bool) {
	for _, t := range b.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// OutDataCentres lists the data centres where nothing may start.
func (b Bundle) OutDataCentres() []string {
	var out []string
	for _, d := range b.DataCentres {
		if d.State == Out {
			out = append(out, d.Name)
		}
	}
	return out
}

// WithDataCentre returns the successor of b in which the data centre called
// name is in the given state.
func (b Bundle) WithDataCentre(name string, state DataCentreState) (Bundle, error) {
	list := make([]DataCentre, len(b.DataCentres))
	copy(list, b.DataCentres)
	for i := range list {
		if list[i].Name == name {
			list[i].State = state
			b.DataCentres = list
			b.Version++
			return b, nil
		}
	}
	return b, &Error{Op: "change data centre", Kind: Invalid, Err: errors.Errorf("no data centre %q in version %d", name, b.Version)}
}

// WithAuthor returns a copy of b by author, with a note on the change.
func (b Bundle) WithAuthor(author, note string) Bundle {
	b.Author = author
	b.Note = note
	return b
}

// Signed is a bundle with the approval of a second person.
type Signed struct {
	// Bundle is the bundle. The signature is over its compact form, so that
	// indentation may change.
	Bundle json.RawMessage
	// Approver names the key in the settings that checks Signature.
	Approver string
	// Signature is an Ed25519 signature of Bundle, in base64.
	Signature string
}

// Digest returns the hash of the signed bytes, in hexadecimal.
func (s Signed) Digest() string {
	sum := sha256.Sum256(compact(s.Bundle))
	return hex.EncodeToString(sum[:])
}

// Sign approves b with the key of approver.
func Sign(b Bundle, approver string, key ed25519.PrivateKey) (Signed, error) {
	if approver == b.Author {
		return Signed{}, &Error{Op: "sign", Kind: Unapproved, Err: errors.Errorf("author %q may not approve the bundle", approver)}
	}
	raw, err := json.Marshal(b)
	if err != nil {
		return Signed{}, &Error{Op: "sign", Kind: Invalid, Err: err}
	}
	sig := ed25519.Sign(key, raw)
	return Signed{Bundle: raw, Approver: approver, Signature: base64.StdEncoding.EncodeToString(sig)}, nil
}

// compact returns raw without white space, or raw itself if it is no JSON.
func compact(raw []byte) []byte {
	var b bytes.Buffer
	if err := json.Compact(&b, raw); err != nil {
		return raw
	}
	return b.Bytes()
}

// Trust maps the names of people who may approve to their public keys, in
// base64, as the settings list them.
type Trust map[string]string

// Verify checks the signature and the content of s and returns the bundle.
func (t Trust) Verify(s Signed) (Bundle, error) {
	if err := t.verifySignature(s); err != nil {
		return Bundle{}, err
	}
	b, err := Parse(s.Bundle)
	if err != nil {
		return Bundle{}, err
	}
	if b.Author == s.Approver {
		return Bundle{}, &Error{Op: "verify", Kind: Unapproved, Err: errors.Errorf("author %q approved the bundle", b.Author)}
	}
	return b, nil
}

func (t Trust) verifySignature(s Signed) error {
	fail := func(err error) error { return &Error{Op: "verify", Kind: Unapproved, Err: err} }
	if s.Signature == "" {
		return fail(errors.New("the bundle is not signed"))
	}
	text, ok := t[s.Approver]
	if !ok {
		return fail(errors.Errorf("approver %q is not in the settings", s.Approver))
	}
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return fail(errors.Errorf("key of approver %q is no Ed25519 public key", s.Approver))
	}
	sig, err := base64.StdEncoding.DecodeString(s.Signature)
	if err != nil || !ed25519.Verify(key, compact(s.Bundle), sig) {
		return fail(errors.Errorf("the signature of %q does not match: the bundle was altered or signed with another key", s.Approver))
	}
	return nil
}

// Parse reads a bundle and checks it as a whole.
func Parse(raw []byte) (Bundle, error) {
	b, err := Decode(raw)
	if err != nil {
		return Bundle{}, err
	}
	if err := b.Check(); err != nil {
		return Bundle{}, err
	}
	return b, nil
}

// Decode reads a bundle without checking its values.
func Decode(raw []byte) (Bundle, error) {
	var b Bundle
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&b); err != nil {
		return Bundle{}, &Error{Op: "parse", Kind: Invalid, Err: err}
	}
	return b, nil
}
