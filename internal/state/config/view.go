package config

import (
	"encoding/json"
	"iter"
	"slices"
	"sync/atomic"
	"unique"

	"github.com/gravitational/trace"
	"github.com/tidwall/btree"

	"github.com/turmericworks/turmericworks/internal/state/adapter"
	"github.com/turmericworks/turmericworks/internal/state/keys"
)

// btreeDegree is the degree of the B-trees that hold the objects. A change copies the nodes of one path,
// so a smaller degree copies less; with 16, a tree of 93,000 names has four levels.
const btreeDegree = 16

// maxRecentChanges is how many changes are remembered to detect duplicates. At 9,700 changes per day it
// covers ten hours; a writer retries an append for minutes.
const maxRecentChanges = 4096

// View is one version of the configuration. It is immutable and safe for concurrent use. The objects
// that it returns must not be modified.
type View struct {
	version Version
	last    ChangeRef
	fleet   Fleet

	workspaces     cowMap[Workspace]
	keys           cowMap[Key]
	adapters       shardedMap[Adapter]
	routes         cowMap[Route]
	backendServers cowMap[BackendServer]
	// adapterNames maps each workspace to the names of its adapters.
	adapterNames cowMap[nameSet]

	// changesByID holds the remembered changes; changeOrder lists their IDs, oldest first.
	changesByID   cowMap[ChangeRef]
	changeOrder   *btree.Map[uint64, string]
	nextChangeSeq uint64

	// generation identifies the tree and shard copies that this view may modify until it is published.
	generation uint64
}

// ChangeRef identifies a change that the fold remembers.
type ChangeRef struct {
	ID     string `json:"id"`
	Author string `json:"author"`
	// Version is the version that the change produced, or zero if it was refused.
	Version Version `json:"version"`
	// UnixMilli is when the change was appended, by the log's clock.
	UnixMilli int64 `json:"unix_milli"`
}

type nameSet struct {
	names      *btree.Map[string, struct{}]
	generation uint64
}

// cowMap is a copy-on-write ordered map from ID to object.
type cowMap[T any] struct {
	tree       *btree.Map[string, *T]
	generation uint64
}

func newCowMap[T any]() cowMap[T] { return cowMap[T]{tree: btree.NewMap[string, *T](btreeDegree)} }

func (t *cowMap[T]) get(id string) (*T, bool) { return t.tree.Get(id) }

func (t *cowMap[T]) put(generation uint64, id string, v *T) {
	t.ensureWritable(generation)
	t.tree.Set(id, v)
}

func (t *cowMap[T]) remove(generation uint64, id string) {
	t.ensureWritable(generation)
	t.tree.Delete(id)
}

func (t *cowMap[T]) ensureWritable(generation uint64) {
	if t.generation != generation {
		t.tree, t.generation = copyTree(t.tree), generation
	}
}

func (t *cowMap[T]) all() iter.Seq2[string, *T] {
	return func(yield func(string, *T) bool) { t.tree.Scan(yield) }
}

// copyTree returns a copy that shares nodes with m. btree's Copy writes to its receiver, so it is called
// on a copy of the header: concurrent readers and copies of m then see no write.
func copyTree[K string | uint64, V any](m *btree.Map[K, V]) *btree.Map[K, V] {
	header := *m
	return header.Copy()
}

var lastGeneration atomic.Uint64

// NewView returns the empty configuration, which is version zero.
func NewView() *View {
	return &View{
		workspaces: newCowMap[Workspace](), keys: newCowMap[Key](), adapters: newShardedMap[Adapter](),
		routes: newCowMap[Route](), backendServers: newCowMap[BackendServer](), adapterNames: newCowMap[nameSet](),
		changesByID: newCowMap[ChangeRef](), changeOrder: btree.NewMap[uint64, string](btreeDegree),
	}
}

// ViewOf returns the view of a document at a version. The document is not checked.
func ViewOf(version Version, d Document) *View {
	v := NewView().mutableCopy()
	v.version, v.fleet = version, d.Fleet
	for id, w := range d.Workspaces {
		v.workspaces.put(v.generation, id, &w)
	}
	for id, k := range d.Keys {
		v.keys.put(v.generation, id, &k)
	}
	for id, a := range d.Adapters {
		a.Versions = slices.Clone(a.Versions)
		v.putAdapter(id, &a)
	}
	for id, r := range d.Routes {
		v.routes.put(v.generation, id, &r)
	}
	for id, b := range d.BackendServers {
		v.backendServers.put(v.generation, id, &b)
	}
	return v
}

// Version returns the version of the configuration.
func (v *View) Version() Version { return v.version }

// LastChange returns the change that produced this version, or the zero ChangeRef for version zero.
func (v *View) LastChange() ChangeRef { return v.last }

// RecentChange returns the recent change with the ID, and whether it is still remembered.
func (v *View) RecentChange(id string) (ChangeRef, bool) {
	c, ok := v.changesByID.get(id)
	if !ok {
		return ChangeRef{}, false
	}
	return *c, true
}

// Fleet returns the fleet-wide settings.
func (v *View) Fleet() Fleet { return v.fleet }

// Workspace returns a workspace, and whether it exists.
func (v *View) Workspace(id string) (*Workspace, bool) { return v.workspaces.get(id) }

// Workspaces yields all workspaces in the order of their IDs.
func (v *View) Workspaces() iter.Seq2[string, *Workspace] { return v.workspaces.all() }

// Adapter returns an adapter, and whether it exists.
func (v *View) Adapter(name string) (*Adapter, bool) { return v.adapters.get(name) }

// Adapters yields all adapters in no fixed order.
func (v *View) Adapters() iter.Seq2[string, *Adapter] { return v.adapters.all() }

// AdapterCount returns the number of adapters.
func (v *View) AdapterCount() int { return v.adapters.count }

// AdaptersOf yields the adapters of a workspace in the order of their names.
func (v *View) AdaptersOf(workspace string) iter.Seq2[string, *Adapter] {
	return func(yield func(string, *Adapter) bool) {
		set, ok := v.adapterNames.get(workspace)
		if !ok {
			return
		}
		set.names.Scan(func(name string, _ struct{}) bool {
			a, _ := v.adapters.get(name)
			return yield(name, a)
		})
	}
}

// Route returns a route, and whether it exists.
func (v *View) Route(id string) (*Route, bool) { return v.routes.get(id) }

// Routes yields all routes in the order of their IDs.
func (v *View) Routes() iter.Seq2[string, *Route] { return v.routes.all() }

// RoutesOf yields the routes of a workspace in the order of their IDs.
func (v *View) RoutesOf(workspace string) iter.Seq2[string, *Route] {
	return func(yield func(string, *Route) bool) {
		for id, r := range v.routes.all() {
			if r.Workspace == workspace && !yield(id, r) {
				return
			}
		}
	}
}

// BackendServer returns a backend server, and whether it exists.
func (v *View) BackendServer(id string) (*BackendServer, bool) { return v.backendServers.get(id) }

// BackendServers yields all backend servers in the order of their IDs.
func (v *View) BackendServers() iter.Seq2[string, *BackendServer] { return v.backendServers.all() }

// Key returns a key by its public ID, and whether it exists.
func (v *View) Key(id string) (*Key, bool) { return v.keys.get(id) }

// Authenticate returns the ID and the stored form of the key that a caller's secret belongs to, and
// whether the secret is valid. The secret's hash is compared in constant time.
func (v *View) Authenticate(secret string) (string, *Key, bool) {
	id, ok := keys.ID(secret)
	if !ok {
		return "", nil, false
	}
	k, ok := v.keys.get(id)
	if !ok || !keys.Match(secret, k.Hash) {
		return "", nil, false
	}
	return id, k, true
}

// Resolve returns the adapter version that a model name refers to, and whether it exists.
func (v *View) Resolve(model string) (adapter.Ref, *Adapter, bool) {
	ref := adapter.Parse(model)
	a, ok := v.adapters.get(ref.Name)
	if !ok {
		return ref, nil, false
	}
	if ref.Version == "" {
		ref.Version = a.Default
	}
	for _, version := range a.Versions {
		if version == ref.Version {
			return ref, a, true
		}
	}
	return ref, a, false
}

// Document returns the configuration as one document. Its cost in time and memory is proportional to
// the number of objects.
func (v *View) Document() Document {
	return Document{
		Fleet: v.fleet, Workspaces: toMap(&v.workspaces), Keys: toMap(&v.keys),
		Adapters: collectMap(v.adapters.all(), v.adapters.count), Routes: toMap(&v.routes),
		BackendServers: toMap(&v.backendServers),
	}
}

func toMap[T any](t *cowMap[T]) map[string]T { return collectMap(t.all(), t.tree.Len()) }

func collectMap[T any](all iter.Seq2[string, *T], count int) map[string]T {
	m := make(map[string]T, count)
	for id, o := range all {
		m[id] = *o
	}
	return m
}

// mutableCopy returns a copy that may be modified until it is published to readers.
func (v *View) mutableCopy() *View {
	c := *v
	c.generation = lastGeneration.Add(1)
	return &c
}

// apply applies one operation to a view from mutableCopy. It fails if the operation or kind is unknown
// or the value is not of the kind's type.
func (v *View) apply(o Operation) error {
	if o.Op != OpPut && o.Op != OpDelete {
		return trace.BadParameter("unknown operation %q", o.Op)
	}
	switch o.Kind {
	case KindFleet:
		if o.Op == OpDelete || o.ID != FleetID {
			return trace.BadParameter("the fleet's settings can only be put, under the id %q", FleetID)
		}
		f, err := decode[Fleet](o)
		if err == nil {
			v.fleet = *f
		}
		return err
	case KindWorkspace:
		return applyToMap(v, &v.workspaces, o, nil)
	case KindKey:
		return applyToMap(v, &v.keys, o, func(k *Key) { k.Workspace = intern(k.Workspace) })
	case KindAdapter:
		return v.applyAdapter(o)
	case KindRoute:
		return applyToMap(v, &v.routes, o, nil)
	case KindBackendServer:
		return applyToMap(v, &v.backendServers, o, nil)
	}
	return trace.BadParameter("unknown kind %q", o.Kind)
}

func applyToMap[T any](v *View, t *cowMap[T], o Operation, internStrings func(*T)) error {
	if o.Op == OpDelete {
		t.remove(v.generation, o.ID)
		return nil
	}
	value, err := decode[T](o)
	if err != nil {
		return err
	}
	if internStrings != nil {
		internStrings(value)
	}
	t.put(v.generation, o.ID, value)
	return nil
}

func (v *View) applyAdapter(o Operation) error {
	if o.Op == OpDelete {
		v.removeAdapter(o.ID)
		return nil
	}
	a, err := decode[Adapter](o)
	if err != nil {
		return err
	}
	v.putAdapter(o.ID, a)
	return nil
}

func (v *View) putAdapter(name string, a *Adapter) {
	// Most adapters share a few values of these strings; interning saves memory at 93,000 adapters.
	a.Workspace, a.BaseModel, a.Default = intern(a.Workspace), intern(a.BaseModel), intern(a.Default)
	for i, version := range a.Versions {
		a.Versions[i] = intern(version)
	}
	old, existed := v.adapters.get(name)
	v.adapters.put(v.generation, name, a)
	if existed && old.Workspace == a.Workspace {
		return
	}
	if existed {
		v.mutableAdapterNames(old.Workspace).Delete(name)
	}
	v.mutableAdapterNames(a.Workspace).Set(name, struct{}{})
}

func (v *View) removeAdapter(name string) {
	old, existed := v.adapters.get(name)
	if !existed {
		return
	}
	v.adapters.remove(v.generation, name)
	names := v.mutableAdapterNames(old.Workspace)
	names.Delete(name)
	if names.Len() == 0 {
		v.adapterNames.remove(v.generation, old.Workspace)
	}
}

// mutableAdapterNames returns the set of a workspace's adapter names for modification.
func (v *View) mutableAdapterNames(workspace string) *btree.Map[string, struct{}] {
	set, ok := v.adapterNames.get(workspace)
	if ok && set.generation == v.generation {
		return set.names
	}
	names := btree.NewMap[string, struct{}](btreeDegree)
	if ok {
		names = copyTree(set.names)
	}
	v.adapterNames.put(v.generation, workspace, &nameSet{names: names, generation: v.generation})
	return names
}

// rememberChange adds a change to those that duplicates are detected by, and forgets the oldest beyond
// maxRecentChanges.
func (v *View) rememberChange(c ChangeRef) {
	v.changeOrder = copyTree(v.changeOrder)
	v.changeOrder.Set(v.nextChangeSeq, c.ID)
	v.nextChangeSeq++
	v.changesByID.put(v.generation, c.ID, &c)
	for v.changeOrder.Len() > maxRecentChanges {
		_, id, _ := v.changeOrder.PopMin()
		v.changesByID.remove(v.generation, id)
	}
}

// recentChanges yields the remembered changes, oldest first.
func (v *View) recentChanges() iter.Seq[ChangeRef] {
	return func(yield func(ChangeRef) bool) {
		v.changeOrder.Scan(func(_ uint64, id string) bool {
			c, _ := v.changesByID.get(id)
			return yield(*c)
		})
	}
}

func decode[T any](o Operation) (*T, error) {
	value := new(T)
	if len(o.Value) == 0 || string(o.Value) == "null" {
		return nil, trace.BadParameter("%s %q has no value", o.Kind, o.ID)
	}
	if err := json.Unmarshal(o.Value, value); err != nil {
		return nil, trace.BadParameter("%s %q: %v", o.Kind, o.ID, err)
	}
	return value, nil
}

func intern(s string) string { return unique.Make(s).Value() }
