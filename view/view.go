// Package view holds the configuration and the endpoints that are in force at one
// router.
package view

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/catalogue"
)

// View answers lookups from the updates that the control replicas stream. The
// zero value is empty and not fresh. It is safe for concurrent use.
type View struct {
	Clock boragewick.Clock

	mu           sync.RWMutex
	catalogue    catalogue.Catalogue
	modelRoutes  map[string][]*boragewick.Object
	prefixRoutes []*boragewick.Object
	endpoints    map[string]*boragewick.Endpoint
	revision     boragewick.Revision
	damaged      bool
	fresh        freshness
	observers    []boragewick.EndpointObserver
}

// Apply puts the update in force unless it is outdated. The error is ErrCorrupt if
// the update does not fit the current configuration; the receiver then needs a
// snapshot.
func (v *View) Apply(u boragewick.Update) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.outdated(&u) {
		return nil
	}
	if u.Snapshot {
		v.catalogue = catalogue.Catalogue{}
		u.Departed = v.departed(u.Endpoints)
	}
	if err := v.applyObjects(u); err != nil {
		v.damaged = true
		v.fresh.until = time.Time{}
		return errors.Wrapf(boragewick.ErrCorrupt, "update %d: %s", u.Revision.Index, err)
	}
	v.applyEndpoints(u)
	v.damaged = false
	v.revision = u.Revision
	if changesRoutes(&u) {
		v.indexRoutes()
	}
	return nil
}

// outdated reports whether the update is not newer than the revision in force. A
// damaged view accepts only snapshots, including one of its current revision.
func (v *View) outdated(u *boragewick.Update) bool {
	if v.damaged {
		return !u.Snapshot || u.Revision.Less(v.revision)
	}
	return !v.revision.Less(u.Revision)
}

func (v *View) applyObjects(u boragewick.Update) error {
	for _, kind := range slices.Backward(boragewick.Kinds) {
		for _, id := range u.Removed {
			if id.Kind() != kind {
				continue
			}
			if err := v.catalogue.Remove(id); err != nil {
				return err
			}
		}
	}
	for _, kind := range boragewick.Kinds {
		for i := range u.Objects {
			if u.Objects[i].Kind != kind {
				continue
			}
			if err := v.catalogue.Put(&u.Objects[i]); err != nil {
				return err
			}
		}
	}
	return nil
}

// departed returns the names of the known endpoints that are not in the list.
func (v *View) departed(list []boragewick.Endpoint) []string {
	var names []string
	for name := range v.endpoints {
		if !slices.ContainsFunc(list, func(e boragewick.Endpoint) bool { return e.Name == name }) {
			names = append(names, name)
		}
	}
	return names
}

func (v *View) applyEndpoints(u boragewick.Update) {
	if v.endpoints == nil {
		v.endpoints = map[string]*boragewick.Endpoint{}
	}
	var changes []boragewick.EndpointChange
	for _, name := range u.Departed {
		delete(v.endpoints, name)
		changes = append(changes, boragewick.EndpointChange{Endpoint: boragewick.Endpoint{Name: name}, Removed: true})
	}
	for i := range u.Endpoints {
		v.endpoints[u.Endpoints[i].Name] = &u.Endpoints[i]
		changes = append(changes, boragewick.EndpointChange{Endpoint: u.Endpoints[i]})
	}
	for _, o := range v.observers {
		o.Update(changes...)
	}
}

// changesRoutes reports whether the update may change the result of indexRoutes.
func changesRoutes(u *boragewick.Update) bool {
	return u.Snapshot ||
		slices.ContainsFunc(u.Objects, func(o boragewick.Object) bool { return o.Kind == boragewick.KindRoute }) ||
		slices.ContainsFunc(u.Removed, func(id boragewick.ID) bool { return id.Kind() == boragewick.KindRoute })
}

func (v *View) indexRoutes() {
	v.modelRoutes = map[string][]*boragewick.Object{}
	v.prefixRoutes = nil
	for _, o := range v.catalogue.All(boragewick.KindRoute) {
		if o.Route.Model != "" {
			v.modelRoutes[o.Route.Model] = append(v.modelRoutes[o.Route.Model], o)
			continue
		}
		v.prefixRoutes = append(v.prefixRoutes, o)
	}
	slices.SortStableFunc(v.prefixRoutes, func(a, b *boragewick.Object) int {
		return cmp.Compare(len(b.Route.Prefix), len(a.Route.Prefix))
	})
}

// Observe notifies o of all later changes of the set of endpoints. It must be
// called before the first update.
func (v *View) Observe(o boragewick.EndpointObserver) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.observers = append(v.observers, o)
}

// Revision returns the revision in force.
func (v *View) Revision() boragewick.Revision {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.revision
}

// Position returns the revision after which updates are needed; zero requests a
// snapshot.
func (v *View) Position() boragewick.Revision {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.damaged {
		return boragewick.Revision{}
	}
	return v.revision
}

// Key returns the workspace of a key. The error is ErrStaleConfig if the
// configuration may be outdated, or ErrUnknownKey.
func (v *View) Key(h boragewick.KeyHash) (*boragewick.Object, error) {
	now := v.Clock.Now()
	v.mu.RLock()
	defer v.mu.RUnlock()
	if !v.fresh.until.After(now) {
		return nil, errors.Wrap(boragewick.ErrStaleConfig, "no proof that the configuration is the newest")
	}
	key := v.catalogue.Key(h)
	if key == nil || (!key.Key.Expires.IsZero() && !key.Key.Expires.After(now)) {
		return nil, boragewick.ErrUnknownKey
	}
	return v.catalogue.Get(key.Key.Workspace), nil
}

// Rate returns the rate of the workspace, or nil.
func (v *View) Rate(workspace boragewick.ID) *boragewick.Rate {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if o := v.catalogue.RateOf(workspace); o != nil {
		return o.Rate
	}
	return nil
}

// ModelRoute returns the route for the model. One that lists the workspace takes
// precedence over one for all workspaces. The error is ErrUnknownModel or
// ErrForbiddenRoute.
func (v *View) ModelRoute(model string, workspace boragewick.ID) (*boragewick.Object, error) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	routes := v.modelRoutes[model]
	if len(routes) == 0 {
		return nil, errors.Wrapf(boragewick.ErrUnknownModel, "no route for model %q", model)
	}
	return allowedRoute(routes, workspace)
}

// PathRoute returns the plain route with the longest prefix of the URL path.
// The error is ErrUnknownRoute.
func (v *View) PathRoute(path string) (*boragewick.Object, error) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	for _, o := range v.prefixRoutes {
		if hasPathPrefix(path, o.Route.Prefix) {
			return o, nil
		}
	}
	return nil, errors.Wrapf(boragewick.ErrUnknownRoute, "no route for %s", path)
}

// Models lists the models that the workspace may use, sorted by name.
func (v *View) Models(workspace boragewick.ID) []string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var list []string
	for model, routes := range v.modelRoutes {
		if _, err := allowedRoute(routes, workspace); err == nil {
			list = append(list, model)
		}
	}
	slices.Sort(list)
	return list
}

// Endpoints lists the endpoints that serve the route, ordered by name.
func (v *View) Endpoints(r *boragewick.Route) []*boragewick.Endpoint {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var list []*boragewick.Endpoint
	for _, e := range v.endpoints {
		if e.Serves(r) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *boragewick.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Endpoint returns the endpoint with the name, or nil.
func (v *View) Endpoint(name string) *boragewick.Endpoint {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.endpoints[name]
}

func allowedRoute(routes []*boragewick.Object, workspace boragewick.ID) (*boragewick.Object, error) {
	var unrestricted *boragewick.Object
	for _, o := range routes {
		if !o.Route.Allows(workspace) {
			continue
		}
		if len(o.Route.Workspaces) > 0 {
			return o, nil
		}
		if unrestricted == nil {
			unrestricted = o
		}
	}
	if unrestricted == nil {
		return nil, boragewick.ErrForbiddenRoute
	}
	return unrestricted, nil
}

// hasPathPrefix reports whether the path equals the prefix or lies below it.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}
