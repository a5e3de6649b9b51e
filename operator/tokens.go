package operator

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// minTokenLength is the length of the shortest accepted token in bytes.
const minTokenLength = 20

// Tokens holds the operators' tokens as hashes. The zero value accepts no
// token.
type Tokens struct {
	list []token
}

type token struct {
	operator string
	sum      [sha256.Size]byte
}

// LoadTokens reads a file with an operator's name and token on each line. The
// error is ErrBadSettings.
func LoadTokens(path string) (Tokens, error) {
	var t Tokens
	text, err := os.ReadFile(path)
	if err != nil {
		return t, errors.Wrapf(boragewick.ErrBadSettings, "%s", err)
	}
	for s := bufio.NewScanner(bytes.NewReader(text)); s.Scan(); {
		fields := strings.Fields(s.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 2 || len(fields[1]) < minTokenLength {
			return t, errors.Wrapf(boragewick.ErrBadSettings, "%s: want OPERATOR TOKEN on each line, the token %d bytes or longer", path, minTokenLength)
		}
		t.list = append(t.list, token{fields[0], sha256.Sum256([]byte(fields[1]))})
	}
	return t, nil
}

// Authenticate returns the operator whose token is in the Authorization header,
// or ErrUnauthenticated.
func (t Tokens) Authenticate(header string) (string, error) {
	scheme, given, _ := strings.Cut(header, " ")
	sum := sha256.Sum256([]byte(given))
	for _, k := range t.list {
		if strings.EqualFold(scheme, "Bearer") && subtle.ConstantTimeCompare(sum[:], k.sum[:]) == 1 {
			return k.operator, nil
		}
	}
	return "", errors.Wrap(boragewick.ErrUnauthenticated, "send the header Authorization: Bearer TOKEN")
}
