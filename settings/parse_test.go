package settings

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

const validSettings = `[instance]
name = router-1
failure_domain = a
region = r
services = caller
[control]
replicas = c@127.0.0.1:7000
[keys]
hash_secret_file = secret
[caller]
listen = 127.0.0.1:8080
`

func TestParse(t *testing.T) {
	tests := map[string]struct {
		// old is replaced by new in valid settings; empty leaves them valid.
		old, new string
		// wantInError must appear in the error.
		wantInError string
	}{
		"good":                     {},
		"unknown section":          {"[keys]", "[kees]", "[kees]"},
		"unknown key":              {"region = r", "region = r\ncolour = red", "[instance] colour"},
		"key before a section":     {"[instance]\n", "name = x\n[instance]\n", "unknown section"},
		"bad address":              {"127.0.0.1:8080", "localhost:8080", "[caller] listen"},
		"bad replica":              {"c@127", "c127", "[control] replicas"},
		"two replicas":             {"c@127.0.0.1:7000", "c@127.0.0.1:7000, d@127.0.0.1:7001", "[control] replicas"},
		"missing failure domain":   {"failure_domain = a\n", "", "[instance] failure_domain"},
		"missing name":             {"name = router-1\n", "", "[instance] name"},
		"unknown service":          {"services = caller", "services = caller, cook", "[instance] services"},
		"missing secret":           {"hash_secret_file = secret\n", "", "[keys] hash_secret_file"},
		"bad number":               {"[caller]", "[caller]\nmax_body_bytes = many", "[caller] max_body_bytes"},
		"bad duration":             {"[caller]", "[caller]\nfirst_token = soon", "[caller] first_token"},
		"links beyond loopback":    {"[control]", "[links]\nlisten = 10.0.0.1:7000\n[control]", "[links] listen"},
		"certificate without half": {"[control]", "[links]\ncertificate_file = x\n[control]", "[links] certificate_file"},
		"not INI":                  {"[instance]", "[instance", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validSettings, tt.old, tt.new, 1)))
			if tt.old == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if !errors.Is(err, boragewick.ErrBadSettings) || !strings.Contains(err.Error(), tt.wantInError) {
				t.Errorf("got %v, want ErrBadSettings that names %s", err, tt.wantInError)
			}
		})
	}
}
