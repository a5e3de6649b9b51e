// Package catalogue holds the configuration objects and finds them by ID, by
// name in any scheme, by key hash and by workspace.
package catalogue

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
)

// Catalogue is a set of objects whose names are unique within their kind and
// whose references all resolve. The zero value is empty. It is not safe for
// concurrent use.
type Catalogue struct {
	objects map[boragewick.ID]*boragewick.Object
	names   map[nameKey]boragewick.ID
	keys    map[boragewick.KeyHash]boragewick.ID
	rates   map[boragewick.ID]boragewick.ID
	users   map[boragewick.ID]int
}

type nameKey struct {
	kind boragewick.Kind
	ref  boragewick.Ref
}

// Get returns the object with the ID, or nil. Callers must not change it.
func (c *Catalogue) Get(id boragewick.ID) *boragewick.Object {
	return c.objects[id]
}

// Find returns the object of the kind that the reference names, or
// ErrUnknownObject or ErrBadName.
func (c *Catalogue) Find(kind boragewick.Kind, ref string) (*boragewick.Object, error) {
	r, err := boragewick.ParseRef(ref)
	if err != nil {
		return nil, err
	}
	id := boragewick.ID(r.Name)
	if r.Scheme != boragewick.SchemeID {
		id = c.names[nameKey{kind, r}]
	}
	o := c.objects[id]
	if o == nil || o.Kind != kind {
		return nil, errors.Wrapf(boragewick.ErrUnknownObject, "no %s %s", kind, ref)
	}
	return o, nil
}

// Key returns the key object with the hash, or nil.
func (c *Catalogue) Key(h boragewick.KeyHash) *boragewick.Object {
	return c.objects[c.keys[h]]
}

// RateOf returns the rate object of the workspace, or nil.
func (c *Catalogue) RateOf(workspace boragewick.ID) *boragewick.Object {
	return c.objects[c.rates[workspace]]
}

// Len returns the number of objects.
func (c *Catalogue) Len() int { return len(c.objects) }

// All returns the objects of the kinds, or of every kind, ordered by ID.
func (c *Catalogue) All(kinds ...boragewick.Kind) []*boragewick.Object {
	var list []*boragewick.Object
	for _, o := range c.objects {
		if len(kinds) == 0 || slices.Contains(kinds, o.Kind) {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b *boragewick.Object) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Put adds the object or replaces the one with its ID. The error is
// ErrNameTaken or ErrUnknownObject, and then nothing has changed.
func (c *Catalogue) Put(o *boragewick.Object) error {
	if err := c.check(o); err != nil {
		return err
	}
	c.init()
	if old := c.objects[o.ID]; old != nil {
		c.unlink(old)
	}
	c.link(o)
	return nil
}

// Remove takes the object out. The error is ErrUnknownObject or
// ErrObjectInUse, and then nothing has changed.
func (c *Catalogue) Remove(id boragewick.ID) error {
	o := c.objects[id]
	if o == nil {
		return errors.Wrapf(boragewick.ErrUnknownObject, "no object %s", id)
	}
	if n := c.users[id]; n > 0 {
		return errors.Wrapf(boragewick.ErrObjectInUse, "%d objects refer to %s %s", n, o.Kind, o.Names)
	}
	c.unlink(o)
	return nil
}

// Clone returns a copy that shares the objects, which nobody may change.
func (c *Catalogue) Clone() *Catalogue {
	var d Catalogue
	d.init()
	for _, o := range c.objects {
		d.link(o)
	}
	return &d
}

func (c *Catalogue) init() {
	if c.objects != nil {
		return
	}
	c.objects = map[boragewick.ID]*boragewick.Object{}
	c.names = map[nameKey]boragewick.ID{}
	c.keys = map[boragewick.KeyHash]boragewick.ID{}
	c.rates = map[boragewick.ID]boragewick.ID{}
	c.users = map[boragewick.ID]int{}
}

func (c *Catalogue) check(o *boragewick.Object) error {
	for _, ref := range o.Names.Refs() {
		if id, ok := c.names[nameKey{o.Kind, ref}]; ok && id != o.ID {
			return errors.Wrapf(boragewick.ErrNameTaken, "%s %s is %s", o.Kind, ref, id)
		}
	}
	for _, id := range references(o) {
		if c.objects[id] == nil {
			return errors.Wrapf(boragewick.ErrUnknownObject, "%s %s refers to %s", o.Kind, o.Names, id)
		}
	}
	if o.Rate == nil {
		return nil
	}
	if id, ok := c.rates[o.Rate.Workspace]; ok && id != o.ID {
		return errors.Wrapf(boragewick.ErrNameTaken, "workspace %s has the rate %s", o.Rate.Workspace, id)
	}
	return nil
}

func (c *Catalogue) link(o *boragewick.Object) {
	c.objects[o.ID] = o
	for _, ref := range o.Names.Refs() {
		c.names[nameKey{o.Kind, ref}] = o.ID
	}
	for _, id := range references(o) {
		c.users[id]++
	}
	if o.Key != nil {
		c.keys[o.Key.Hash] = o.ID
	}
	if o.Rate != nil {
		c.rates[o.Rate.Workspace] = o.ID
	}
}

func (c *Catalogue) unlink(o *boragewick.Object) {
	delete(c.objects, o.ID)
	for _, ref := range o.Names.Refs() {
		delete(c.names, nameKey{o.Kind, ref})
	}
	for _, id := range references(o) {
		c.users[id]--
		if c.users[id] == 0 {
			delete(c.users, id)
		}
	}
	if o.Key != nil {
		delete(c.keys, o.Key.Hash)
	}
	if o.Rate != nil {
		delete(c.rates, o.Rate.Workspace)
	}
}

// references lists the objects that o refers to.
func references(o *boragewick.Object) []boragewick.ID {
	switch {
	case o.Key != nil:
		return []boragewick.ID{o.Key.Workspace}
	case o.Rate != nil:
		return []boragewick.ID{o.Rate.Workspace}
	case o.Route != nil:
		return o.Route.Workspaces
	default:
		return nil
	}
}
