package check

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/turmericworks/turmericworks/internal/state/findings"
	"github.com/turmericworks/turmericworks/internal/state/routing"
)

// Difference is what a version changes in one entry of another.
type Difference struct {
	findings.Difference
	// Place is that of the entry in the new version, and for a removed one in the old version.
	Place Place
}

// rules say what a change takes away. A field whose value means "no limit" is absent.
var rules = findings.Rules{
	KindOrder: []string{string(KindKey), string(KindRoute), string(KindWorkspace), string(KindService), string(KindModel), string(KindLimits)},
	Falls: []string{"timeout_seconds", "max_attempts", "targets", "rate", "burst", "max_connections", "cold_rate", "engine", "adapters",
		"max_header_bytes", "max_body_bytes", "header_timeout_seconds", "idle_timeout_seconds"},
	Rises:   []string{"priority", "weights_mb", "adapter_mb", "default_tokens"},
	Changes: []string{"host", "path_prefix", "workspace"},
	Losses:  []string{"public", "resumable", "targets", "engine", "burst", "adapters"},
	Gains:   []string{"rate", "cold_rate", "max_header_bytes", "max_body_bytes", "header_timeout_seconds", "idle_timeout_seconds"},

	DescribeRemoval:  describeRemoval,
	DescribeAddition: func(string, map[string]any) string { return "is added" },
}

func describeRemoval(kind string, before map[string]any) string {
	switch Kind(kind) {
	case KindKey:
		return fmt.Sprintf("is removed: requests of workspace %q with it are refused", before["workspace"])
	case KindRoute:
		return fmt.Sprintf("is removed: requests to %v%v that no other route matches are refused", before["host"], before["path_prefix"])
	case KindWorkspace:
		if before["rate"] == nil {
			return "is removed; it had no rate"
		}
		return fmt.Sprintf("is removed, with its rate of %v per second and burst of %v", before["rate"], before["burst"])
	case KindService:
		return "is removed: its workers get no requests"
	case KindModel:
		return "is removed: requests to its adapters are refused"
	}
	return "is removed"
}

// entry is an entry of a version as the rules compare it.
type entry struct {
	id     string
	place  Place
	fields map[string]any
}

// entries holds the entries of a version by kind and by what identifies them.
type entries map[Kind]map[string]entry

// add adds an entry. One with the same identity is kept under another, so that none is lost.
func (e entries) add(kind Kind, identity, id string, p Place, fields map[string]any) {
	if e[kind] == nil {
		e[kind] = map[string]entry{}
	}
	unique := identity
	for n := 2; ; n++ {
		if _, taken := e[kind][unique]; !taken {
			break
		}
		unique = identity + "#" + strconv.Itoa(n)
	}
	p.Kind = kind
	e[kind][unique] = entry{id: id, place: p, fields: fields}
}

// Differences returns what the new version changes in the old one, one for each entry that differs: first what is taken
// away, then other changes, then additions.
func Differences(old, new *routing.Config) []Difference {
	before, after := entriesOf(old), entriesOf(new)
	places := map[string]Place{}
	var list []findings.Difference
	compare := func(kind Kind, b, a entry) {
		d, differs := rules.Compare(string(kind), b.fields, a.fields)
		if !differs {
			return
		}
		from := a
		if a.fields == nil {
			from = b
		}
		d.ID = from.id
		// Path stands for the place while the list is sorted.
		d.Path = strconv.Itoa(len(list))
		places[d.Path] = from.place
		list = append(list, d)
	}
	for _, kind := range rules.KindOrder {
		kind := Kind(kind)
		both := maps.Clone(after[kind])
		if both == nil {
			both = map[string]entry{}
		}
		maps.Copy(both, before[kind])
		for _, identity := range slices.Sorted(maps.Keys(both)) {
			compare(kind, before[kind][identity], after[kind][identity])
		}
	}
	rules.Sort(list)
	out := make([]Difference, len(list))
	for i, d := range list {
		out[i] = Difference{d, places[d.Path]}
		out[i].Path = ""
	}
	return out
}

// numbers adds those numbers to fields that are not 0.
func numbers(fields map[string]any, values map[string]float64) map[string]any {
	for name, v := range values {
		if v != 0 {
			fields[name] = findings.Number(strconv.FormatFloat(v, 'f', -1, 64))
		}
	}
	return fields
}

// flags adds those flags to fields that are set.
func flags(fields map[string]any, values map[string]bool) map[string]any {
	for name, set := range values {
		if set {
			fields[name] = true
		}
	}
	return fields
}

var kindNames = map[routing.Kind]string{
	routing.NonIdempotent: "non-idempotent", routing.Idempotent: "idempotent", routing.Stream: "stream",
}

func entriesOf(c *routing.Config) entries {
	e := entries{}
	for i := range c.Routes {
		r := &c.Routes[i]
		e.add(KindRoute, r.Name, r.Name, Place{Index: i, Name: r.Name}, routeFields(r))
	}
	for i := range c.Services {
		s := &c.Services[i]
		e.add(KindService, s.Name, s.Name, Place{Index: i, Name: s.Name}, serviceFields(s))
		if s.Engine == nil {
			continue
		}
		for j, m := range s.Engine.Models {
			name := s.Name + "/" + m.Name
			e.add(KindModel, name, name, Place{Index: i, Element: j, Name: name}, numbers(map[string]any{}, map[string]float64{
				"weights_mb": m.WeightsMB, "adapters": float64(m.Adapters), "adapter_mb": m.AdapterMB, "load_seconds": m.LoadTime.Seconds(),
			}))
		}
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		e.add(KindWorkspace, w.Name, w.Name, Place{Index: i, Name: w.Name}, workspaceFields(w))
		for j, key := range w.Keys {
			// The id has the position: a key is a secret.
			id := w.Name + "/" + strconv.Itoa(j+1)
			e.add(KindKey, key, id, Place{Index: i, Element: j, Name: w.Name}, map[string]any{"workspace": w.Name})
		}
	}
	l := c.Limits
	e.add(KindLimits, "", "limits", Place{}, numbers(map[string]any{}, map[string]float64{
		"max_header_bytes": float64(l.MaxHeaderBytes), "max_body_bytes": float64(l.MaxBodyBytes),
		"header_timeout_seconds": l.HeaderTimeout.Seconds(), "idle_timeout_seconds": l.IdleTimeout.Seconds(),
	}))
	return e
}

func routeFields(r *routing.Route) map[string]any {
	targets := map[string]float64{}
	for _, t := range r.Targets {
		targets[t.Service] += t.Weight
	}
	fields := map[string]any{
		"host": r.Host, "path_prefix": r.PathPrefix, "kind": kindNames[r.Kind], "targets": numbers(map[string]any{}, targets),
		"priority": findings.Number(r.Priority),
	}
	return numbers(flags(fields, map[string]bool{"public": r.Public, "resumable": r.Resumable}), map[string]float64{
		"timeout_seconds": r.Timeout.Seconds(), "target_latency_seconds": r.TargetLatency.Seconds(), "max_attempts": float64(r.MaxAttempts),
	})
}

func serviceFields(s *routing.Service) map[string]any {
	fields := map[string]any{}
	if e := s.Engine; e != nil {
		fields["engine"] = numbers(map[string]any{"present": true}, map[string]float64{
			"slots": float64(e.Slots), "memory_tokens": float64(e.MemoryTokens), "weights_mb": e.WeightsMB,
			"adapter_slots": float64(e.AdapterSlots), "loads_per_second": e.LoadsPerSecond,
		})
	}
	return numbers(fields, map[string]float64{
		"max_connections": float64(s.MaxConnections), "cold_start_seconds": s.ColdStart.Seconds(), "cold_rate": s.ColdRate,
	})
}

func workspaceFields(w *routing.Workspace) map[string]any {
	fields := flags(map[string]any{}, map[string]bool{"counts_tokens": w.CountsTokens})
	if w.Priority >= 0 {
		fields["priority"] = findings.Number(w.Priority)
	}
	return numbers(fields, map[string]float64{"rate": w.Rate, "burst": w.Burst, "default_tokens": w.DefaultTokens})
}
