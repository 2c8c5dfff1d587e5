// Package approver defines the configuration bundle: its content and the limits
// of its values, its approval by a second person, and the verification of
// signed bundles.
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

// DataCentreState says whether tasks may start in a data centre.
type DataCentreState string

// The states of a data centre.
const (
	In  DataCentreState = "In"
	Out DataCentreState = "Out"
)

// Service is the configuration of one kind of requests.
type Service struct {
	Name string
	// TaskLimit is the maximum number of tasks in one submission.
	TaskLimit int
	// DeadlineLimitMillis is the maximum time from submission to deadline, in
	// milliseconds.
	DeadlineLimitMillis int
	// ExpectedRunMillis is the initial estimate of a task's run time, in
	// milliseconds. The system replaces it by estimates from measured run times.
	ExpectedRunMillis int
	// Repeatable means that callers may submit a request again after an unknown
	// outcome. Whether set or not, the system itself never starts a task twice.
	Repeatable bool
}

// DataCentre is a data centre and its state.
type DataCentre struct {
	Name  string
	State DataCentreState
}

// Team is a group of callers that share a quota.
type Team struct {
	Name string
	// TaskLimit is the maximum number of the team's unfinished tasks at one entry.
	TaskLimit int
}

// Limits holds the limits that protect the system as a whole.
type Limits struct {
	// WaitingTaskLimit is the maximum number of waiting tasks at one entry.
	WaitingTaskLimit int
	// EjectPercent is the maximum share of workers that are ejected because they
	// fail, in percent.
	EjectPercent int
	// RetryPercent is the maximum number of starts repeated after a refusal, as
	// a percentage of the first starts.
	RetryPercent int
}

// Bundle is one version of the whole configuration. It is immutable; the With
// methods return modified copies.
type Bundle struct {
	// Version is one more than that of the bundle that this one replaces.
	Version     uint64
	Author      string
	Note        string `json:",omitempty"`
	Services    []Service
	DataCentres []DataCentre
	Teams       []Team
	Limits      Limits
}

// Service returns the service with the given name.
func (b Bundle) Service(name string) (Service, bool) {
	for _, s := range b.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Team returns the team with the given name.
func (b Bundle) Team(name string) (Team, bool) {
	for _, t := range b.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// OutDataCentres returns the names of the data centres where no task may start.
func (b Bundle) OutDataCentres() []string {
	var out []string
	for _, d := range b.DataCentres {
		if d.State == Out {
			out = append(out, d.Name)
		}
	}
	return out
}

// WithDataCentre returns the next version of b, in which the named data centre
// has the given state. An unknown name is an Invalid error.
func (b Bundle) WithDataCentre(name string, state DataCentreState) (Bundle, error) {
	dataCentres := make([]DataCentre, len(b.DataCentres))
	copy(dataCentres, b.DataCentres)
	for i := range dataCentres {
		if dataCentres[i].Name == name {
			dataCentres[i].State = state
			b.DataCentres = dataCentres
			b.Version++
			return b, nil
		}
	}
	return b, &Error{Op: "change data centre", Kind: Invalid, Err: errors.Errorf("no data centre %q in version %d", name, b.Version)}
}

// WithAuthor returns a copy of b with the given author and note on the change.
func (b Bundle) WithAuthor(author, note string) Bundle {
	b.Author = author
	b.Note = note
	return b
}

// SignedBundle is a bundle that a second person has approved.
type SignedBundle struct {
	// Bundle is the encoded bundle. The signature covers its compact form, so
	// that a change of the indentation does not invalidate it.
	Bundle json.RawMessage
	// Approver is the name of the key in the settings that verifies Signature.
	Approver string
	// Signature is the base64-encoded Ed25519 signature of Bundle.
	Signature string
}

// Digest returns the SHA-256 hash of the signed bytes in hexadecimal.
func (s SignedBundle) Digest() string {
	sum := sha256.Sum256(compact(s.Bundle))
	return hex.EncodeToString(sum[:])
}

// Sign signs b with the key of approver. It returns an Unapproved error if approver
// is the author of b.
func Sign(b Bundle, approver string, key ed25519.PrivateKey) (SignedBundle, error) {
	if approver == b.Author {
		return SignedBundle{}, &Error{Op: "sign", Kind: Unapproved, Err: errors.Errorf("author %q may not approve the bundle", approver)}
	}
	raw, err := json.Marshal(b)
	if err != nil {
		return SignedBundle{}, &Error{Op: "sign", Kind: Invalid, Err: err}
	}
	signature := ed25519.Sign(key, raw)
	return SignedBundle{Bundle: raw, Approver: approver, Signature: base64.StdEncoding.EncodeToString(signature)}, nil
}

// compact returns raw without insignificant white space, or raw itself if it is
// not valid JSON.
func compact(raw []byte) []byte {
	var b bytes.Buffer
	if err := json.Compact(&b, raw); err != nil {
		return raw
	}
	return b.Bytes()
}

// ApproverKeys maps the names of the people who may approve bundles to their
// base64-encoded public keys, as listed in the settings.
type ApproverKeys map[string]string

// Verify checks the signature and the content of s and returns the bundle. It
// returns an Unapproved or an Invalid error.
func (t ApproverKeys) Verify(s SignedBundle) (Bundle, error) {
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

func (t ApproverKeys) verifySignature(s SignedBundle) error {
	unapproved := func(err error) error { return &Error{Op: "verify", Kind: Unapproved, Err: err} }
	if s.Signature == "" {
		return unapproved(errors.New("the bundle is not signed"))
	}
	encodedKey, ok := t[s.Approver]
	if !ok {
		return unapproved(errors.Errorf("approver %q is not in the settings", s.Approver))
	}
	key, err := base64.StdEncoding.DecodeString(encodedKey)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return unapproved(errors.Errorf("key of approver %q is no Ed25519 public key", s.Approver))
	}
	signature, err := base64.StdEncoding.DecodeString(s.Signature)
	if err != nil || !ed25519.Verify(key, compact(s.Bundle), signature) {
		return unapproved(errors.Errorf("the signature of %q does not match: the bundle was altered or signed with another key", s.Approver))
	}
	return nil
}

// Parse decodes a bundle and checks all its values.
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

// Decode decodes a bundle without checking its values. Unknown keys are errors.
func Decode(raw []byte) (Bundle, error) {
	var b Bundle
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&b); err != nil {
		return Bundle{}, &Error{Op: "parse", Kind: Invalid, Err: err}
	}
	return b, nil
}
