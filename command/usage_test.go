package command

import (
	"bytes"
	"path/filepath"
	"testing"
)

func TestExitCodes(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	tests := map[string]struct {
		args []string
		want int
	}{
		"help":                       {[]string{}, 0},
		"help of a group":            {[]string{"certs"}, 0},
		"version":                    {[]string{"version"}, 0},
		"unknown command":            {[]string{"nonsense"}, 2},
		"unknown command of a group": {[]string{"certs", "nonsense"}, 2},
		"unknown change of control":  {[]string{"control", "nonsense"}, 2},
		"unknown flag":               {[]string{"status", "--nonsense"}, 2},
		"required flag not given":    {[]string{"check"}, 2},
		"too many arguments":         {[]string{"version", "1"}, 2},
		"missing settings":           {[]string{"check", "-c", missing}, 2},
		"missing token file":         {[]string{"status", "--token-file", missing}, 2},
		"address without a port":     {[]string{"dev", "--caller", "127.0.0.1"}, 2},
		"authority without a name":   {[]string{"certs", "authority", "--dir", missing}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out, errs bytes.Buffer
			if got := Main(test.args, &out, &errs); got != test.want {
				t.Errorf("exit code %d, want %d; %s%s", got, test.want, out.String(), errs.String())
			}
		})
	}
}
