package settings

import (
	"encoding"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"github.com/boragewick/boragewick"
)

// Load reads and checks the file. The error is ErrBadSettings and names the
// file, the section and the key.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrapf(boragewick.ErrBadSettings, "%s", err)
	}
	s, err := Parse(text)
	return s, errors.Wrapf(err, "%s", path)
}

// Parse reads and checks settings from INI text.
func Parse(text []byte) (Settings, error) {
	s := Default()
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, text)
	if err != nil {
		return s, errors.Wrapf(boragewick.ErrBadSettings, "%s", err)
	}
	sections := reflect.ValueOf(&s).Elem()
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		target, ok := fieldByTag(sections, section.Name())
		if !ok {
			return s, errors.Wrapf(boragewick.ErrBadSettings, "[%s]: unknown section", section.Name())
		}
		if err := parseSection(target, section); err != nil {
			return s, err
		}
	}
	return s, s.check()
}

func parseSection(target reflect.Value, section *ini.Section) error {
	for _, key := range section.Keys() {
		field, ok := fieldByTag(target, key.Name())
		if !ok {
			return errors.Wrapf(boragewick.ErrBadSettings, "[%s] %s: unknown key", section.Name(), key.Name())
		}
		if err := setValue(field, strings.TrimSpace(key.Value())); err != nil {
			return errors.Wrapf(boragewick.ErrBadSettings, "[%s] %s: %s", section.Name(), key.Name(), err)
		}
	}
	return nil
}

func fieldByTag(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("ini") == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// setValue parses text by the field's type and sets the field.
func setValue(field reflect.Value, text string) error {
	switch dst := field.Addr().Interface().(type) {
	case encoding.TextUnmarshaler:
		return dst.UnmarshalText([]byte(text))
	case *string:
		*dst = text
		return nil
	case *bool:
		return parseInto(dst, text, strconv.ParseBool)
	case *int:
		return parseInto(dst, text, strconv.Atoi)
	case *int64:
		return parseInto(dst, text, func(s string) (int64, error) { return strconv.ParseInt(s, 10, 64) })
	case *time.Duration:
		return parseInto(dst, text, time.ParseDuration)
	case *[]string:
		*dst = splitList(text)
		return nil
	case *[]Replica:
		return parseInto(dst, text, parseReplicas)
	default:
		return errors.Newf("unsupported type %s", field.Type())
	}
}

func parseInto[T any](dst *T, text string, parse func(string) (T, error)) error {
	v, err := parse(text)
	if err != nil {
		return err
	}
	*dst = v
	return nil
}

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(c rune) bool { return c == ',' || c == ' ' })
}

func parseReplicas(text string) ([]Replica, error) {
	var replicas []Replica
	for _, item := range splitList(text) {
		name, address, ok := strings.Cut(item, "@")
		if !ok || name == "" {
			return nil, errors.Newf("%q is not name@address", item)
		}
		r := Replica{Name: name}
		if err := r.Address.UnmarshalText([]byte(address)); err != nil {
			return nil, err
		}
		replicas = append(replicas, r)
	}
	return replicas, nil
}
