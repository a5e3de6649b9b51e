// Package catalogue stores the configuration objects and indexes them by ID, by
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
	objects         map[boragewick.ID]*boragewick.Object
	byName          map[nameKey]boragewick.ID
	byKeyHash       map[boragewick.KeyHash]boragewick.ID
	rateByWorkspace map[boragewick.ID]boragewick.ID
	refCounts       map[boragewick.ID]int
}

type nameKey struct {
	kind boragewick.Kind
	ref  boragewick.Ref
}

// Get returns the object with the ID, or nil. The object must not be modified.
func (c *Catalogue) Get(id boragewick.ID) *boragewick.Object {
	return c.objects[id]
}

// Find returns the object of the kind that the reference names. The error is
// ErrUnknownObject or ErrBadName.
func (c *Catalogue) Find(kind boragewick.Kind, ref string) (*boragewick.Object, error) {
	r, err := boragewick.ParseRef(ref)
	if err != nil {
		return nil, err
	}
	id := boragewick.ID(r.Name)
	if r.Scheme != boragewick.SchemeID {
		id = c.byName[nameKey{kind, r}]
	}
	o := c.objects[id]
	if o == nil || o.Kind != kind {
		return nil, errors.Wrapf(boragewick.ErrUnknownObject, "no %s %s", kind, ref)
	}
	return o, nil
}

// Key returns the key object with the hash, or nil.
func (c *Catalogue) Key(h boragewick.KeyHash) *boragewick.Object {
	return c.objects[c.byKeyHash[h]]
}

// RateOf returns the rate object of the workspace, or nil.
func (c *Catalogue) RateOf(workspace boragewick.ID) *boragewick.Object {
	return c.objects[c.rateByWorkspace[workspace]]
}

// Len returns the number of objects.
func (c *Catalogue) Len() int { return len(c.objects) }

// All returns the objects of the given kinds, or of every kind if none is given,
// ordered by ID.
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

// Put adds the object or replaces the one with the same ID. On error, which is
// ErrNameTaken or ErrUnknownObject, the catalogue is unchanged.
func (c *Catalogue) Put(o *boragewick.Object) error {
	if err := c.validate(o); err != nil {
		return err
	}
	c.init()
	if old := c.objects[o.ID]; old != nil {
		c.erase(old)
	}
	c.insert(o)
	return nil
}

// Remove removes the object. On error, which is ErrUnknownObject or
// ErrObjectInUse, the catalogue is unchanged.
func (c *Catalogue) Remove(id boragewick.ID) error {
	o := c.objects[id]
	if o == nil {
		return errors.Wrapf(boragewick.ErrUnknownObject, "no object %s", id)
	}
	if n := c.refCounts[id]; n > 0 {
		return errors.Wrapf(boragewick.ErrObjectInUse, "%d objects refer to %s %s", n, o.Kind, o.Names)
	}
	c.erase(o)
	return nil
}

// Clone returns a copy that shares the objects, which must not be modified.
func (c *Catalogue) Clone() *Catalogue {
	var d Catalogue
	d.init()
	for _, o := range c.objects {
		d.insert(o)
	}
	return &d
}

func (c *Catalogue) init() {
	if c.objects != nil {
		return
	}
	c.objects = map[boragewick.ID]*boragewick.Object{}
	c.byName = map[nameKey]boragewick.ID{}
	c.byKeyHash = map[boragewick.KeyHash]boragewick.ID{}
	c.rateByWorkspace = map[boragewick.ID]boragewick.ID{}
	c.refCounts = map[boragewick.ID]int{}
}

func (c *Catalogue) validate(o *boragewick.Object) error {
	for _, ref := range o.Names.Refs() {
		if id, ok := c.byName[nameKey{o.Kind, ref}]; ok && id != o.ID {
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
	if id, ok := c.rateByWorkspace[o.Rate.Workspace]; ok && id != o.ID {
		return errors.Wrapf(boragewick.ErrNameTaken, "workspace %s has the rate %s", o.Rate.Workspace, id)
	}
	return nil
}

func (c *Catalogue) insert(o *boragewick.Object) {
	c.objects[o.ID] = o
	for _, ref := range o.Names.Refs() {
		c.byName[nameKey{o.Kind, ref}] = o.ID
	}
	for _, id := range references(o) {
		c.refCounts[id]++
	}
	if o.Key != nil {
		c.byKeyHash[o.Key.Hash] = o.ID
	}
	if o.Rate != nil {
		c.rateByWorkspace[o.Rate.Workspace] = o.ID
	}
}

func (c *Catalogue) erase(o *boragewick.Object) {
	delete(c.objects, o.ID)
	for _, ref := range o.Names.Refs() {
		delete(c.byName, nameKey{o.Kind, ref})
	}
	for _, id := range references(o) {
		c.refCounts[id]--
		if c.refCounts[id] == 0 {
			delete(c.refCounts, id)
		}
	}
	if o.Key != nil {
		delete(c.byKeyHash, o.Key.Hash)
	}
	if o.Rate != nil {
		delete(c.rateByWorkspace, o.Rate.Workspace)
	}
}

// references returns the IDs of the objects that o refers to.
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
