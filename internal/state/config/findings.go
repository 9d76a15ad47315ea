package config

import (
	"cmp"
	"fmt"
	"hash/maphash"
	"slices"

	"github.com/turmericworks/turmericworks/internal/state/findings"
)

const (
	// largestRate is the largest rate and burst of a workspace in tokens; the bucket of the package shares cuts larger ones.
	largestRate = 10_000_000
	// smallestCompletion is the fewest tokens that a completion reserves: one of the prompt and one of the output.
	smallestCompletion = 2
	// plainCompletion is the fewest tokens that a completion without max_tokens reserves: one and the default output of
	// the package openai.
	plainCompletion = 513
)

// Findings returns what is wrong with a configuration beyond the errors for which instances refuse it: entries that can
// never match, and limits that contradict each other. They are ordered by path.
func (v *View) Findings() []findings.Finding {
	var found []findings.Finding
	v.eachFinding(func(f findings.Finding) { found = append(found, f) })
	slices.SortFunc(found, findings.Compare)
	return found
}

// WarningsOf returns the findings that operations, applied to v, add. Operations that can't be applied add none: they
// are refused elsewhere.
func (v *View) WarningsOf(ops []Operation) Problems {
	after := v.mutableCopy()
	for _, o := range ops {
		if after.apply(o) != nil {
			return nil
		}
	}
	// Hashes instead of findings: those of 93,000 adapters without an engine take 42 MB, and an instance may have 136 MB.
	seed := maphash.MakeSeed()
	fresh := map[uint64]struct{}{}
	after.eachFinding(func(f findings.Finding) { fresh[maphash.Comparable(seed, f)] = struct{}{} })
	if len(fresh) > 0 {
		v.eachFinding(func(f findings.Finding) { delete(fresh, maphash.Comparable(seed, f)) })
	}
	if len(fresh) == 0 {
		return nil
	}
	var added Problems
	after.eachFinding(func(f findings.Finding) {
		if _, ok := fresh[maphash.Comparable(seed, f)]; ok && len(added) < findings.Max {
			added = append(added, Problem{f.Path, f.Message})
		}
	})
	slices.SortFunc(added, compareProblems)
	if more := len(fresh) - len(added); more > 0 {
		added = append(added, Problem{Message: fmt.Sprintf("and %d more", more)})
	}
	return added
}

// eachFinding calls add for each finding, in no fixed order.
func (v *View) eachFinding(add func(findings.Finding)) {
	c := newUsage(v)
	c.add = func(s findings.Severity, path, format string, args ...any) {
		add(findings.Finding{Severity: s, Path: path, Message: fmt.Sprintf(format, args...)})
	}
	c.checkWorkspaces()
	c.checkKeys()
	c.checkAdapters()
	c.checkRoutes()
	c.checkServers()
}

func compareProblems(a, b Problem) int {
	return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Message, b.Message))
}

// owned counts what a workspace owns.
type owned struct{ adapters, routes, keys int }

// usage holds who refers to whom in a view.
type usage struct {
	view *View
	// owners holds the workspaces to which an adapter, route or key refers.
	owners  map[string]*owned
	hasKeys bool
	// models and services map each base model and service to whether a server that isn't leaving offers it.
	models, services map[string]bool
	// usedModels and usedServices hold what adapters and routes need.
	usedModels, usedServices map[string]bool
	// add takes a finding.
	add func(s findings.Severity, path, format string, args ...any)
}

func newUsage(v *View) *usage {
	c := &usage{
		view: v, owners: map[string]*owned{}, models: map[string]bool{}, services: map[string]bool{},
		usedModels: map[string]bool{}, usedServices: map[string]bool{},
	}
	for _, a := range v.Adapters() {
		c.owner(a.Workspace).adapters++
		c.usedModels[a.BaseModel] = true
	}
	for _, r := range v.Routes() {
		c.owner(r.Workspace).routes++
		c.usedServices[r.Service] = true
	}
	for _, k := range v.keys.all() {
		c.owner(k.Workspace).keys++
		c.hasKeys = true
	}
	for _, s := range v.BackendServers() {
		if s.Kind == KindEngine {
			c.models[s.BaseModel] = c.models[s.BaseModel] || !s.Leaving
		} else {
			c.services[s.Service] = c.services[s.Service] || !s.Leaving
		}
	}
	return c
}

// owner returns what a workspace owns.
func (c *usage) owner(workspace string) *owned {
	o, ok := c.owners[workspace]
	if !ok {
		o = &owned{}
		c.owners[workspace] = o
	}
	return o
}

func (c *usage) checkWorkspaces() {
	for id, w := range c.view.Workspaces() {
		path := findings.Pointer("workspaces", id)
		own := c.owner(id)
		if *own == (owned{}) {
			c.add(findings.SeverityWarning, path, "owns no adapter, route or key")
		}
		if w.Weight > 0 && w.Weight < 1 {
			c.add(findings.SeverityWarning, path+"/weight", "counts as 1, since it is less than 1")
		}
		for _, limit := range []struct {
			field string
			value float64
		}{{"tokens_per_second", w.TokensPerSecond}, {"burst_tokens", w.BurstTokens}} {
			if limit.value > largestRate {
				c.add(findings.SeverityWarning, path+"/"+limit.field, "counts as %d, the largest possible value", largestRate)
			}
		}
		switch {
		case own.adapters == 0:
		case w.BurstTokens < smallestCompletion:
			c.add(findings.SeverityError, path+"/burst_tokens", "holds no completion: each reserves at least %d tokens", smallestCompletion)
		case w.BurstTokens < plainCompletion:
			c.add(findings.SeverityWarning, path+"/burst_tokens", "holds no completion without max_tokens: each reserves at least %d tokens",
				plainCompletion)
		}
	}
}

func (c *usage) checkKeys() {
	byHash := map[string]string{}
	for id, k := range c.view.keys.all() {
		path := findings.Pointer("keys", id)
		own := c.owner(k.Workspace)
		if _, ok := c.view.Workspace(k.Workspace); ok && own.adapters+own.routes == 0 {
			c.add(findings.SeverityWarning, path+"/workspace", "workspace %q owns no adapter or route, so the key opens nothing that isn't open to all", k.Workspace)
		}
		if other, used := byHash[k.Hash]; used {
			c.add(findings.SeverityWarning, path+"/hash", "is also the hash of the key %q; a secret belongs to one key, so one of them can't match", other)
		} else {
			byHash[k.Hash] = id
		}
	}
}

// unreachable reports whether no caller may use an object of the workspace. A document without any keys leaves the keys
// in force as they are, so it does not change this.
func (c *usage) unreachable(workspace string, open bool) bool {
	if open || !c.hasKeys || c.owner(workspace).keys > 0 {
		return false
	}
	_, exists := c.view.Workspace(workspace)
	return exists
}

func (c *usage) checkAdapters() {
	for name, a := range c.view.Adapters() {
		offered, known := c.models[a.BaseModel]
		fits := offered && known
		reached := !c.unreachable(a.Workspace, a.Open)
		if fits && reached {
			continue
		}
		path := findings.Pointer("adapters", name)
		switch {
		case !known:
			c.add(findings.SeverityError, path+"/base_model", "no engine runs the base model %q", a.BaseModel)
		case !offered:
			c.add(findings.SeverityError, path+"/base_model", "all engines that run the base model %q are leaving", a.BaseModel)
		}
		if !reached {
			c.add(findings.SeverityWarning, path, "no caller reaches it: it is not open and workspace %q has no key", a.Workspace)
		}
	}
}

func (c *usage) checkRoutes() {
	for id, r := range c.view.Routes() {
		path := findings.Pointer("routes", id)
		if offered, known := c.services[r.Service]; known && !offered {
			c.add(findings.SeverityError, path+"/service", "all backend servers that offer the service %q are leaving", r.Service)
		}
		if c.unreachable(r.Workspace, r.Open) {
			c.add(findings.SeverityWarning, path, "no caller reaches it: it is not open and workspace %q has no key", r.Workspace)
		}
		w, ok := c.view.Workspace(r.Workspace)
		if ok && float64(r.Tokens) > min(w.BurstTokens, largestRate) {
			c.add(findings.SeverityError, path+"/tokens", "one call takes %d tokens, but the burst of workspace %q holds %g", r.Tokens,
				r.Workspace, min(w.BurstTokens, largestRate))
		}
	}
}

func (c *usage) checkServers() {
	byURL := map[string]string{}
	for id, s := range c.view.BackendServers() {
		path := findings.Pointer("backend_servers", id)
		switch {
		case s.Kind == KindEngine && s.BaseModel != "" && !c.usedModels[s.BaseModel]:
			c.add(findings.SeverityWarning, path+"/base_model", "no adapter uses the base model %q", s.BaseModel)
		case s.Kind == KindService && s.Service != "" && !c.usedServices[s.Service]:
			c.add(findings.SeverityWarning, path+"/service", "no route leads to the service %q", s.Service)
		}
		if other, used := byURL[s.URL]; used {
			c.add(findings.SeverityWarning, path+"/url", "is also the URL of the backend server %q, whose room then counts twice", other)
		} else {
			byURL[s.URL] = id
		}
	}
}
