package boragewick

import (
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

// Scheme is a naming scheme. An object may have a name in each scheme.
type Scheme string

// The naming schemes. Their grammars are disjoint, so that a bare name is
// unambiguous.
const (
	// SchemePath is a slash path such as /hulling/north.
	SchemePath Scheme = "path"
	// SchemeDotted is a dotted name such as hulling.north.
	SchemeDotted Scheme = "dotted"
	// SchemeCode is an inventory code such as WS-00017.
	SchemeCode Scheme = "code"
	// SchemeID is the object's immutable ID.
	SchemeID Scheme = "id"
)

// maxNameLength is the maximum length of a name in bytes.
const maxNameLength = 128

var grammars = []struct {
	scheme  Scheme
	pattern *regexp.Regexp
}{
	{SchemePath, regexp.MustCompile(`^(/[a-z0-9][a-z0-9_-]*)+$`)},
	{SchemeDotted, regexp.MustCompile(`^[a-z][a-z0-9-]*(\.[a-z0-9][a-z0-9-]*)+$`)},
	{SchemeCode, regexp.MustCompile(`^[A-Z]{1,8}-[0-9]{1,12}$`)},
	{SchemeID, regexp.MustCompile(`^[a-z]+_[a-z2-7]{16}$`)},
}

// Names holds an object's name in each scheme; empty means no name in it.
type Names struct {
	Path   string `cbor:"path,omitempty" json:"path,omitempty"`
	Dotted string `cbor:"dotted,omitempty" json:"dotted,omitempty"`
	Code   string `cbor:"code,omitempty" json:"code,omitempty"`
}

// Get returns the name in the scheme.
func (n Names) Get(s Scheme) string {
	switch s {
	case SchemePath:
		return n.Path
	case SchemeDotted:
		return n.Dotted
	case SchemeCode:
		return n.Code
	default:
		return ""
	}
}

// With returns a copy of the names with the name in the scheme replaced.
func (n Names) With(s Scheme, name string) Names {
	switch s {
	case SchemePath:
		n.Path = name
	case SchemeDotted:
		n.Dotted = name
	case SchemeCode:
		n.Code = name
	}
	return n
}

// Refs returns a reference for each name that is set.
func (n Names) Refs() []Ref {
	var refs []Ref
	for _, s := range []Scheme{SchemePath, SchemeDotted, SchemeCode} {
		if name := n.Get(s); name != "" {
			refs = append(refs, Ref{Scheme: s, Name: name})
		}
	}
	return refs
}

// String returns the names separated by spaces, or "-" when none is set.
func (n Names) String() string {
	var parts []string
	for _, ref := range n.Refs() {
		parts = append(parts, ref.Name)
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, " ")
}

// Ref refers to an object by its name in one scheme or by its ID.
type Ref struct {
	Scheme Scheme `cbor:"scheme" json:"scheme"`
	Name   string `cbor:"name" json:"name"`
}

// ParseRef parses a bare name or scheme:name. The error is ErrBadName.
func ParseRef(s string) (Ref, error) {
	scheme, name, explicit := strings.Cut(s, ":")
	if !explicit {
		name = s
	}
	if len(name) > maxNameLength {
		return Ref{}, errors.Wrapf(ErrBadName, "a name may have %d bytes at most", maxNameLength)
	}
	for _, g := range grammars {
		if !g.pattern.MatchString(name) {
			continue
		}
		if explicit && Scheme(scheme) != g.scheme {
			break
		}
		return Ref{Scheme: g.scheme, Name: name}, nil
	}
	return Ref{}, errors.Wrapf(ErrBadName, "%q is no slash path, dotted name, inventory code or id", s)
}

// String returns the reference as scheme:name.
func (r Ref) String() string {
	return string(r.Scheme) + ":" + r.Name
}
