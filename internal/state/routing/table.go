package routing

import (
	"cmp"
	"crypto/sha256"
	"net"
	"slices"
	"strings"
)

// Table answers look-ups in one version of the configuration. It is immutable.
type Table struct {
	Version    int64
	Limits     Limits
	hosts      map[string][]*Route
	services   map[string]*Service
	workspaces map[[sha256.Size]byte]*Workspace
	byName     map[string]*Workspace
}

// Compile builds the look-ups of a configuration.
func Compile(c Config) *Table {
	t := &Table{
		Version: c.Version, Limits: c.Limits,
		hosts: map[string][]*Route{}, services: map[string]*Service{},
		workspaces: map[[sha256.Size]byte]*Workspace{}, byName: map[string]*Workspace{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		t.byName[w.Name] = w
		for _, k := range w.Keys {
			t.workspaces[sha256.Sum256([]byte(k))] = w
		}
	}
	return t
}

// Match returns the route of the host with the longest prefix that begins the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// HasWorkspaces reports whether requests need keys.
func (t *Table) HasWorkspaces() bool { return len(t.byName) > 0 }

// WorkspaceByKey returns the workspace that holds the key. Keys are compared by their hashes, so that the
// time taken tells nothing about them.
func (t *Table) WorkspaceByKey(key string) (*Workspace, bool) {
	w, ok := t.workspaces[sha256.Sum256([]byte(key))]
	return w, ok
}

// Workspace returns a workspace by name.
func (t *Table) Workspace(name string) (*Workspace, bool) {
	w, ok := t.byName[name]
	return w, ok
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Workspaces returns all workspaces.
func (t *Table) Workspaces() []*Workspace {
	out := make([]*Workspace, 0, len(t.byName))
	for _, w := range t.byName {
		out = append(out, w)
	}
	return out
}
