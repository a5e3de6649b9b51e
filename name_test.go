package boragewick

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

func TestParseRef(t *testing.T) {
	tests := map[string]struct {
		in   string
		want string
		err  error
	}{
		"path":               {in: "/hulling/north", want: "path:/hulling/north"},
		"dotted":             {in: "hulling.north", want: "dotted:hulling.north"},
		"code":               {in: "WS-00017", want: "code:WS-00017"},
		"id":                 {in: "workspace_abcdefgh234567ab", want: "id:workspace_abcdefgh234567ab"},
		"explicit scheme":    {in: "dotted:hulling.north", want: "dotted:hulling.north"},
		"scheme disagrees":   {in: "path:hulling.north", err: ErrBadName},
		"unknown scheme":     {in: "color:hulling.north", err: ErrBadName},
		"single word":        {in: "hulling", err: ErrBadName},
		"empty":              {in: "", err: ErrBadName},
		"trailing slash":     {in: "/hulling/", err: ErrBadName},
		"lower-case code":    {in: "ws-00017", err: ErrBadName},
		"control characters": {in: "hulling.\nnorth", err: ErrBadName},
		"too long":           {in: "/" + strings.Repeat("a", maxNameLength), err: ErrBadName},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ref, err := ParseRef(tt.in)
			if !errors.Is(err, tt.err) {
				t.Fatalf("error %v, want %v", err, tt.err)
			}
			if tt.err == nil && ref.String() != tt.want {
				t.Errorf("got %s, want %s", ref, tt.want)
			}
		})
	}
}

func TestGrammarsAreDisjoint(t *testing.T) {
	for _, name := range []string{"/a/b", "a.b", "A-1", "workspace_abcdefgh234567ab"} {
		matches := 0
		for _, g := range grammars {
			if g.pattern.MatchString(name) {
				matches++
			}
		}
		if matches != 1 {
			t.Errorf("%q matches %d grammars", name, matches)
		}
	}
}
