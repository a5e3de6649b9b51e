// Package intent reads operators' intents from INI text. Each section is
// headed by a kind and a reference, such as [workspace /hulling/north], and
// holds the fields that the object should have.
package intent

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"github.com/boragewick/boragewick"
)

// maxBytes is the size of the longest accepted intent.
const maxBytes = 1 << 20

// removeField is the key that removes an object when it is true.
const removeField = "remove"

// Parse reads an intent. The error is ErrBadIntent and names the section.
func Parse(text []byte) (boragewick.Intent, error) {
	if len(text) > maxBytes {
		return boragewick.Intent{}, errors.Wrapf(boragewick.ErrBadIntent, "longer than %d bytes", maxBytes)
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		ChildSectionDelimiter:  "\x00",
		AllowNonUniqueSections: true,
		IgnoreInlineComment:    true,
	}, text)
	if err != nil {
		return boragewick.Intent{}, errors.Wrapf(boragewick.ErrBadIntent, "%s", err)
	}
	var in boragewick.Intent
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection {
			if len(s.Keys()) > 0 {
				return in, errors.Wrapf(boragewick.ErrBadIntent, "%q stands before the first section", s.Keys()[0].Name())
			}
			continue
		}
		item, err := parseSection(s)
		if err != nil {
			return boragewick.Intent{}, errors.Wrapf(err, "section [%s]", s.Name())
		}
		in.Items = append(in.Items, item)
	}
	if len(in.Items) == 0 {
		return in, errors.Wrap(boragewick.ErrBadIntent, "no sections")
	}
	return in, nil
}

func parseSection(s *ini.Section) (boragewick.IntentItem, error) {
	words := strings.Fields(s.Name())
	if len(words) != 2 {
		return boragewick.IntentItem{}, errors.Wrap(boragewick.ErrBadIntent, "want [KIND REF]")
	}
	item := boragewick.IntentItem{Kind: boragewick.Kind(words[0]), Ref: words[1]}
	for _, k := range s.Keys() {
		if k.Name() != removeField {
			item.Fields = append(item.Fields, boragewick.Field{Name: k.Name(), Value: k.Value()})
			continue
		}
		remove, err := strconv.ParseBool(k.Value())
		if err != nil {
			return item, errors.Wrapf(boragewick.ErrBadIntent, "remove = %q is no truth value", k.Value())
		}
		item.Remove = remove
	}
	return item, nil
}
