package planner

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/catalogue"
)

// field gets and sets one field of an object as text.
type field struct {
	name string
	kind boragewick.Kind // empty means every kind
	get  func(o *boragewick.Object) string
	set  func(c *catalogue.Catalogue, o *boragewick.Object, value string) error
}

var fields = []field{
	nameField(boragewick.SchemePath),
	nameField(boragewick.SchemeDotted),
	nameField(boragewick.SchemeCode),
	{
		"weight", boragewick.KindWorkspace,
		func(o *boragewick.Object) string { return strconv.FormatUint(uint64(o.Workspace.Weight), 10) },
		func(_ *catalogue.Catalogue, o *boragewick.Object, v string) error {
			n, err := parseUint(v, 1, 1000)
			o.Workspace.Weight = uint32(n)
			return err
		},
	},
	{
		"workspace", boragewick.KindKey,
		func(o *boragewick.Object) string { return string(o.Key.Workspace) },
		func(c *catalogue.Catalogue, o *boragewick.Object, v string) error {
			return setWorkspace(c, &o.Key.Workspace, v)
		},
	},
	{
		"expires", boragewick.KindKey,
		func(o *boragewick.Object) string { return formatTime(o.Key.Expires) },
		func(_ *catalogue.Catalogue, o *boragewick.Object, v string) (err error) {
			o.Key.Expires, err = parseTime(v)
			return err
		},
	},
	{
		"workspace", boragewick.KindRate,
		func(o *boragewick.Object) string { return string(o.Rate.Workspace) },
		func(c *catalogue.Catalogue, o *boragewick.Object, v string) error {
			return setWorkspace(c, &o.Rate.Workspace, v)
		},
	},
	{
		"tokens_per_second", boragewick.KindRate,
		func(o *boragewick.Object) string { return strconv.FormatUint(o.Rate.TokensPerSecond, 10) },
		func(_ *catalogue.Catalogue, o *boragewick.Object, v string) (err error) {
			o.Rate.TokensPerSecond, err = parseUint(v, 1, 1e9)
			return err
		},
	},
	{
		"burst", boragewick.KindRate,
		func(o *boragewick.Object) string { return strconv.FormatUint(o.Rate.Burst, 10) },
		func(_ *catalogue.Catalogue, o *boragewick.Object, v string) (err error) {
			o.Rate.Burst, err = parseUint(v, 1, 1e10)
			return err
		},
	},
	routeStringField("model", func(r *boragewick.Route) *string { return &r.Model }),
	routeStringField("prefix", func(r *boragewick.Route) *string { return &r.Prefix }),
	routeStringField("pool", func(r *boragewick.Route) *string { return &r.Pool }),
	routeStringField("weights", func(r *boragewick.Route) *string { return &r.Weights }),
	routeStringField("adapter", func(r *boragewick.Route) *string { return &r.Adapter }),
	routeStringField("next_weights", func(r *boragewick.Route) *string { return &r.NextWeights }),
	routeStringField("next_adapter", func(r *boragewick.Route) *string { return &r.NextAdapter }),
	routeBoolField("repeatable", func(r *boragewick.Route) *bool { return &r.Repeatable }),
	routeBoolField("open", func(r *boragewick.Route) *bool { return &r.Open }),
	{
		"workspaces", boragewick.KindRoute,
		func(o *boragewick.Object) string { return joinIDs(o.Route.Workspaces) },
		func(c *catalogue.Catalogue, o *boragewick.Object, v string) error {
			return setWorkspaces(c, o.Route, v)
		},
	},
}

func findField(kind boragewick.Kind, name string) (field, error) {
	for _, f := range fields {
		if f.name == name && (f.kind == "" || f.kind == kind) {
			return f, nil
		}
	}
	return field{}, errors.Wrapf(boragewick.ErrBadIntent, "a %s has no field %q", kind, name)
}

func nameField(s boragewick.Scheme) field {
	return field{
		name: string(s),
		get:  func(o *boragewick.Object) string { return o.Names.Get(s) },
		set: func(_ *catalogue.Catalogue, o *boragewick.Object, v string) error {
			if v == "" {
				o.Names = o.Names.With(s, "")
				return nil
			}
			ref, err := boragewick.ParseRef(v)
			if err != nil {
				return err
			}
			if ref.Scheme != s {
				return errors.Wrapf(boragewick.ErrBadName, "%q is a name in scheme %s", v, ref.Scheme)
			}
			o.Names = o.Names.With(s, ref.Name)
			return nil
		},
	}
}

func routeStringField(name string, ptr func(*boragewick.Route) *string) field {
	return field{
		name, boragewick.KindRoute,
		func(o *boragewick.Object) string { return *ptr(o.Route) },
		func(_ *catalogue.Catalogue, o *boragewick.Object, v string) error {
			*ptr(o.Route) = v
			return nil
		},
	}
}

func routeBoolField(name string, ptr func(*boragewick.Route) *bool) field {
	return field{
		name, boragewick.KindRoute,
		func(o *boragewick.Object) string { return strconv.FormatBool(*ptr(o.Route)) },
		func(_ *catalogue.Catalogue, o *boragewick.Object, v string) error {
			b, err := strconv.ParseBool(v)
			if err != nil {
				return errors.Wrapf(boragewick.ErrBadIntent, "%q is no truth value", v)
			}
			*ptr(o.Route) = b
			return nil
		},
	}
}

func setWorkspace(c *catalogue.Catalogue, target *boragewick.ID, ref string) error {
	w, err := c.Find(boragewick.KindWorkspace, ref)
	if err != nil {
		return err
	}
	*target = w.ID
	return nil
}

func setWorkspaces(c *catalogue.Catalogue, r *boragewick.Route, list string) error {
	r.Workspaces = nil
	for ref := range strings.FieldsFuncSeq(list, func(c rune) bool { return c == ',' || c == ' ' }) {
		var id boragewick.ID
		if err := setWorkspace(c, &id, ref); err != nil {
			return err
		}
		if !slices.Contains(r.Workspaces, id) {
			r.Workspaces = append(r.Workspaces, id)
		}
	}
	slices.Sort(r.Workspaces)
	return nil
}

func parseUint(v string, low, high uint64) (uint64, error) {
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil || n < low || n > high {
		return 0, errors.Wrapf(boragewick.ErrBadIntent, "%q is no whole number from %d to %d", v, low, high)
	}
	return n, nil
}

func parseTime(v string) (time.Time, error) {
	if v == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339, v)
	if err != nil {
		return time.Time{}, errors.Wrapf(boragewick.ErrBadIntent, "%q is no RFC 3339 time", v)
	}
	return t.UTC(), nil
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

func joinIDs(ids []boragewick.ID) string {
	parts := make([]string, len(ids))
	for i, id := range ids {
		parts[i] = string(id)
	}
	return strings.Join(parts, " ")
}
