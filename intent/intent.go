// Package intent parses operators' intents from INI text. The name of each
// section is a kind and a reference, such as [workspace /hulling/north], and it
// holds the fields that the object should have.
package intent

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"github.com/boragewick/boragewick"
)

// maxBytes is the maximum size of an intent.
const maxBytes = 1 << 20

// removeField is the key that, if true, removes the object.
const removeField = "remove"

// Parse parses an intent. The error is ErrBadIntent; an error within a section
// names the section.
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
	parts := strings.Fields(s.Name())
	if len(parts) != 2 {
		return boragewick.IntentItem{}, errors.Wrap(boragewick.ErrBadIntent, "want [KIND REF]")
	}
	item := boragewick.IntentItem{Kind: boragewick.Kind(parts[0]), Ref: parts[1]}
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
