package routing

import (
	"cmp"
	"crypto/sha256"
	"net"
	"slices"
	"strings"
)

// Table is an index of one version of the configuration. It is immutable.
type Table struct {
	Version int64
	Limits  Limits
	// routesByHost holds the routes of each host in lower case, the longest path prefixes first.
	routesByHost    map[string][]*Route
	services        map[string]*Service
	workspaceByHash map[[sha256.Size]byte]*Workspace
	workspaceByName map[string]*Workspace
}

// Compile builds the table of a configuration.
func Compile(c Config) *Table {
	t := &Table{
		Version: c.Version, Limits: c.Limits,
		routesByHost: map[string][]*Route{}, services: map[string]*Service{},
		workspaceByHash: map[[sha256.Size]byte]*Workspace{}, workspaceByName: map[string]*Workspace{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		t.workspaceByName[w.Name] = w
		for _, k := range w.Keys {
			t.workspaceByHash[sha256.Sum256([]byte(k))] = w
		}
	}
	return t
}

// Match returns the route of the host with the longest path prefix that matches.
func (t *Table) Match(host, path string) (*Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// HasWorkspaces reports whether the configuration has workspaces, so that requests need keys.
func (t *Table) HasWorkspaces() bool { return len(t.workspaceByName) > 0 }

// WorkspaceByKey returns the workspace that the key belongs to. Keys are looked up by their hashes, so that the time of
// a lookup reveals nothing about them.
func (t *Table) WorkspaceByKey(key string) (*Workspace, bool) {
	w, ok := t.workspaceByHash[sha256.Sum256([]byte(key))]
	return w, ok
}

// Workspace returns a workspace by name.
func (t *Table) Workspace(name string) (*Workspace, bool) {
	w, ok := t.workspaceByName[name]
	return w, ok
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Workspaces returns all workspaces in no particular order.
func (t *Table) Workspaces() []*Workspace {
	out := make([]*Workspace, 0, len(t.workspaceByName))
	for _, w := range t.workspaceByName {
		out = append(out, w)
	}
	return out
}
