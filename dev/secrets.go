package dev

import (
	"bytes"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// Names of the files in the data folder.
const (
	hashSecretFile = "key_hash_secret"
	tokensFile     = "operator_tokens"
	tokenFile      = "operator_token"
	demoKeyFile    = "demo_key"
)

// operatorName is the operator that the token belongs to.
const operatorName = "dev"

// secrets holds the secrets that the data folder keeps besides the state of the
// control replicas.
type secrets struct {
	operatorToken string
	demoKey       string
}

// loadSecrets reads the secrets and generates those that are missing, except for
// the demo key.
func loadSecrets(dir string) (secrets, error) {
	var s secrets
	if _, err := readOrCreate(filepath.Join(dir, hashSecretFile), boragewick.NewCallerKey); err != nil {
		return s, err
	}
	token, err := readOrCreate(filepath.Join(dir, tokenFile), boragewick.NewCallerKey)
	if err != nil {
		return s, err
	}
	s.operatorToken = token
	line := operatorName + " " + token + "\n"
	if err := os.WriteFile(filepath.Join(dir, tokensFile), []byte(line), 0o600); err != nil {
		return s, errors.Mark(err, boragewick.ErrStorage)
	}
	key, err := os.ReadFile(filepath.Join(dir, demoKeyFile))
	if err != nil && !os.IsNotExist(err) {
		return s, errors.Mark(err, boragewick.ErrStorage)
	}
	s.demoKey = string(bytes.TrimSpace(key))
	return s, nil
}

func readOrCreate(path string, generate func() string) (string, error) {
	text, err := os.ReadFile(path)
	if err == nil {
		return string(bytes.TrimSpace(text)), nil
	}
	if !os.IsNotExist(err) {
		return "", errors.Mark(err, boragewick.ErrStorage)
	}
	secret := generate()
	return secret, errors.Mark(os.WriteFile(path, []byte(secret+"\n"), 0o600), boragewick.ErrStorage)
}
