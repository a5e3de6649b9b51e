// Package planner computes the plan of changes that brings a catalogue in line
// with an operator's intent.
package planner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/catalogue"
)

// planLifetime is how long after its creation a plan can be confirmed.
const planLifetime = 15 * time.Minute

// defaultWeight is the weight of a new workspace whose intent does not set one.
const defaultWeight = 1

// Planner makes plans. HashKey returns the hash under which a new key is stored.
type Planner struct {
	HashKey func(secret string) (boragewick.KeyHash, error)
	NewKey  func() string
}

// draft is a plan under construction. planned is the catalogue with the changes
// so far applied.
type draft struct {
	*Planner
	current *catalogue.Catalogue
	planned *catalogue.Catalogue
	reply   boragewick.PlanReply
}

// Plan returns what the intent would change in the catalogue. The error is
// ErrBadIntent, ErrBadName, ErrNameTaken, ErrUnknownObject or ErrObjectInUse.
func (p *Planner) Plan(c *catalogue.Catalogue, in boragewick.Intent, operator string, now time.Time) (boragewick.PlanReply, error) {
	d := &draft{Planner: p, current: c, planned: c.Clone()}
	d.reply.Plan = boragewick.Plan{
		ID:       boragewick.NewID("plan"),
		Operator: operator,
		Created:  now,
		Expires:  now.Add(planLifetime),
	}
	for _, item := range sortItems(in.Items) {
		if err := d.applyItem(item); err != nil {
			return boragewick.PlanReply{}, errors.Wrapf(err, "%s %s", item.Kind, item.Ref)
		}
	}
	if len(d.reply.Plan.Changes) == 0 {
		return boragewick.PlanReply{}, errors.Wrap(boragewick.ErrBadIntent, "everything is already so")
	}
	d.addWarnings()
	return d.reply, nil
}

// sortItems puts removals first, referring objects before those that they refer
// to, and then the other items with referenced objects first.
func sortItems(items []boragewick.IntentItem) []boragewick.IntentItem {
	out := slices.Clone(items)
	slices.SortStableFunc(out, func(a, b boragewick.IntentItem) int {
		return rank(a) - rank(b)
	})
	return out
}

func rank(item boragewick.IntentItem) int {
	i := slices.Index(boragewick.Kinds, item.Kind)
	if item.Remove {
		return -1 - i
	}
	return i
}

func (d *draft) applyItem(item boragewick.IntentItem) error {
	if !slices.Contains(boragewick.Kinds, item.Kind) {
		return errors.Wrapf(boragewick.ErrBadIntent, "there is no kind %q; kinds are %v", item.Kind, boragewick.Kinds)
	}
	old, err := d.planned.Find(item.Kind, item.Ref)
	if item.Remove {
		if err != nil {
			return err
		}
		return d.remove(old, item)
	}
	if err == nil {
		return d.change(old, item)
	}
	if !errors.Is(err, boragewick.ErrUnknownObject) {
		return err
	}
	return d.create(item)
}

func (d *draft) remove(old *boragewick.Object, item boragewick.IntentItem) error {
	if len(item.Fields) > 0 {
		return errors.Wrapf(boragewick.ErrBadIntent, "removed and yet given %s", item.Fields[0].Name)
	}
	if err := d.planned.Remove(old.ID); err != nil {
		return err
	}
	d.recordChange(boragewick.ActionRemove, old, nil)
	return nil
}

func (d *draft) change(old *boragewick.Object, item boragewick.IntentItem) error {
	if d.hasChange(old.ID) {
		return errors.Wrap(boragewick.ErrBadIntent, "the object stands twice")
	}
	o := copyObject(old)
	if err := d.setFields(o, item.Fields); err != nil {
		return err
	}
	if err := validate(o); err != nil {
		return err
	}
	if len(diff(old, o)) == 0 {
		return nil
	}
	if err := d.planned.Put(o); err != nil {
		return err
	}
	action := boragewick.ActionChange
	if o.Names != old.Names {
		action = boragewick.ActionRename
	}
	d.recordChange(action, old, o)
	return nil
}

func (d *draft) create(item boragewick.IntentItem) error {
	ref, err := boragewick.ParseRef(item.Ref)
	if err != nil {
		return err
	}
	if ref.Scheme == boragewick.SchemeID {
		return errors.Wrapf(boragewick.ErrUnknownObject, "no %s %s; a new object is given a name", item.Kind, item.Ref)
	}
	o := emptyObject(item.Kind)
	o.Names = o.Names.With(ref.Scheme, ref.Name)
	if err := d.setFields(o, item.Fields); err != nil {
		return err
	}
	if o.Names.Get(ref.Scheme) != ref.Name {
		return errors.Wrapf(boragewick.ErrBadIntent, "headed %s and yet named %s", ref, o.Names)
	}
	if o.Key != nil {
		secret := d.NewKey()
		if o.Key.Hash, err = d.HashKey(secret); err != nil {
			return err
		}
		d.reply.Keys = append(d.reply.Keys, boragewick.NewKey{ID: o.ID, Names: o.Names, Secret: secret})
	}
	if err := validate(o); err != nil {
		return err
	}
	if err := d.planned.Put(o); err != nil {
		return err
	}
	d.recordChange(boragewick.ActionCreate, nil, o)
	return nil
}

func (d *draft) setFields(o *boragewick.Object, list []boragewick.Field) error {
	for _, given := range list {
		f, err := findField(o.Kind, given.Name)
		if err != nil {
			return err
		}
		if err := f.set(d.planned, o, strings.TrimSpace(given.Value)); err != nil {
			return errors.Wrapf(err, "%s", given.Name)
		}
	}
	return nil
}

func (d *draft) hasChange(id boragewick.ID) bool {
	return slices.ContainsFunc(d.reply.Plan.Changes, func(c boragewick.Change) bool { return c.Object.ID == id })
}

func (d *draft) recordChange(action boragewick.Action, before, after *boragewick.Object) {
	c := boragewick.Change{Action: action, Fields: diff(before, after)}
	if before != nil {
		c.Base = before.Revision
		c.Object = *before
	}
	if after != nil {
		c.Object = *after
	}
	d.reply.Plan.Changes = append(d.reply.Plan.Changes, c)
}

func (d *draft) addWarnings() {
	for _, c := range d.reply.Plan.Changes {
		if text := warning(&c); text != "" {
			d.reply.Plan.Warnings = append(d.reply.Plan.Warnings, text)
		}
	}
}

func warning(c *boragewick.Change) string {
	o := &c.Object
	switch {
	case c.Action == boragewick.ActionRemove && o.Kind == boragewick.KindKey:
		return fmt.Sprintf("callers with key %s are refused from now on", o.Names)
	case c.Action == boragewick.ActionRemove && o.Kind == boragewick.KindRoute:
		return fmt.Sprintf("requests for route %s are refused from now on", o.Names)
	case c.Action == boragewick.ActionRemove && o.Kind == boragewick.KindRate:
		return fmt.Sprintf("workspace %s has no rate any more and its keyed requests are refused", o.Rate.Workspace)
	case c.Action == boragewick.ActionRename:
		return fmt.Sprintf("%s is renamed; its old names stop working", o.Kind)
	case o.Route != nil && o.Route.Open && c.Action != boragewick.ActionRemove:
		return fmt.Sprintf("route %s is open to callers without a key", o.Names)
	default:
		return ""
	}
}

// diff lists the fields that differ; a nil object has only empty fields.
func diff(before, after *boragewick.Object) []boragewick.FieldDiff {
	kind := kindOf(before, after)
	var list []boragewick.FieldDiff
	for _, f := range fields {
		if f.kind != "" && f.kind != kind {
			continue
		}
		d := boragewick.FieldDiff{Name: f.name, Before: fieldText(f, before), After: fieldText(f, after)}
		if d.Before != d.After {
			list = append(list, d)
		}
	}
	return list
}

func kindOf(before, after *boragewick.Object) boragewick.Kind {
	if before != nil {
		return before.Kind
	}
	return after.Kind
}

func fieldText(f field, o *boragewick.Object) string {
	if o == nil {
		return ""
	}
	return f.get(o)
}

func emptyObject(kind boragewick.Kind) *boragewick.Object {
	o := &boragewick.Object{ID: boragewick.NewID(kind), Kind: kind}
	switch kind {
	case boragewick.KindWorkspace:
		o.Workspace = &boragewick.Workspace{Weight: defaultWeight}
	case boragewick.KindKey:
		o.Key = &boragewick.Key{}
	case boragewick.KindRate:
		o.Rate = &boragewick.Rate{}
	case boragewick.KindRoute:
		o.Route = &boragewick.Route{}
	}
	return o
}

func copyObject(old *boragewick.Object) *boragewick.Object {
	o := *old
	switch {
	case o.Workspace != nil:
		w := *o.Workspace
		o.Workspace = &w
	case o.Key != nil:
		k := *o.Key
		o.Key = &k
	case o.Rate != nil:
		r := *o.Rate
		o.Rate = &r
	case o.Route != nil:
		r := *o.Route
		r.Workspaces = slices.Clone(r.Workspaces)
		o.Route = &r
	}
	return &o
}

// validate checks that the required fields of the object are set and that a route
// is valid.
func validate(o *boragewick.Object) error {
	var missing string
	switch {
	case o.Names == boragewick.Names{}:
		missing = "a name"
	case o.Key != nil && o.Key.Workspace == "", o.Rate != nil && o.Rate.Workspace == "":
		missing = "workspace"
	case o.Rate != nil && o.Rate.TokensPerSecond == 0:
		missing = "tokens_per_second"
	case o.Rate != nil && o.Rate.Burst == 0:
		missing = "burst"
	case o.Route != nil && o.Route.Pool == "":
		missing = "pool"
	}
	if missing != "" {
		return errors.Wrapf(boragewick.ErrBadIntent, "needs %s", missing)
	}
	if o.Route != nil {
		return validateRoute(o.Route)
	}
	return nil
}

func validateRoute(r *boragewick.Route) error {
	if (r.Model == "") == (r.Prefix == "") {
		return errors.Wrap(boragewick.ErrBadIntent, "needs either model or prefix")
	}
	if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
		return errors.Wrapf(boragewick.ErrBadIntent, "prefix %q does not begin with a slash", r.Prefix)
	}
	if r.Prefix == "/v1" || strings.HasPrefix(r.Prefix, "/v1/") {
		return errors.Wrap(boragewick.ErrBadIntent, "paths under /v1 belong to model routes")
	}
	return nil
}
