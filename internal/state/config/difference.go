package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"

	"github.com/gravitational/trace"

	"github.com/turmericworks/turmericworks/internal/state/findings"
)

// fieldDefaults holds the values of absent fields. A document encodes these fields with omitempty, so zero is absent too.
var fieldDefaults = map[Kind]map[string]json.Number{
	KindWorkspace:     {"weight": "1"},
	KindAdapter:       {"worth": "1", "deadline_seconds": findings.Number(defaultCompletionDeadline.Seconds())},
	KindRoute:         {"tokens": "1", "deadline_seconds": findings.Number(defaultServiceDeadline.Seconds())},
	KindBackendServer: {"max_batch": "32"},
}

// differenceRules say what a change takes away; a call that takes more tokens takes them from its workspace.
var differenceRules = findings.Rules{
	KindOrder: []string{string(KindKey), string(KindRoute), string(KindWorkspace), string(KindAdapter), string(KindBackendServer), string(KindFleet)},
	Falls: []string{"tokens_per_second", "burst_tokens", "weight", "worth", "deadline_seconds", "slots", "max_batch",
		"weight_store.loads_per_second", "weight_store.full_speed", "weight_store.max_in_flight"},
	Rises:   []string{"tokens"},
	Changes: []string{"workspace"},
	Losses:  []string{"open"},
	Gains:   []string{"leaving"},
	Secrets: map[string]string{"hash": "the secret changes: the old one is refused"},

	DescribeRemoval: describeRemoval,
	DescribeAddition: func(_ string, after map[string]any) string {
		if owner, ok := after["workspace"]; ok {
			return fmt.Sprintf("is added to workspace %q", owner)
		}
		return "is added"
	},
}

// Differences returns what the new document changes in the old one, one for each entry that differs in effect: first what
// is taken away, then other changes, then additions, each ordered by kind and id.
func Differences(old, new Document) ([]findings.Difference, error) {
	var list []findings.Difference
	add := func(kind Kind, field string, before, after map[string]any) {
		ids := maps.Clone(before)
		if ids == nil {
			ids = map[string]any{}
		}
		maps.Copy(ids, after)
		for id := range ids {
			path := findings.Pointer(field, id)
			if kind == KindFleet {
				path = findings.Pointer(field)
			}
			if d, differs := differenceRules.Compare(string(kind), withDefaults(kind, before[id]), withDefaults(kind, after[id])); differs {
				d.ID, d.Path = id, path
				list = append(list, d)
			}
		}
	}
	before, err := fieldsOf(old)
	if err != nil {
		return nil, err
	}
	after, err := fieldsOf(new)
	if err != nil {
		return nil, err
	}
	add(KindFleet, "fleet", map[string]any{FleetID: before["fleet"]}, map[string]any{FleetID: after["fleet"]})
	for field, kind := range documentKinds {
		add(kind, field, objectIn(before, field), objectIn(after, field))
	}
	differenceRules.Sort(list)
	return list, nil
}

// documentKinds maps the fields of a document that hold objects by id to the kind of the objects.
var documentKinds = map[string]Kind{
	"workspaces": KindWorkspace, "keys": KindKey, "adapters": KindAdapter, "routes": KindRoute, "backend_servers": KindBackendServer,
}

func fieldsOf(d Document) (map[string]any, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, trace.BadParameter("encoding the document: %v", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var fields map[string]any
	return fields, trace.Wrap(decoder.Decode(&fields))
}

// objectIn returns the object in a field, or nil if it holds null.
func objectIn(fields map[string]any, name string) map[string]any {
	object, _ := fields[name].(map[string]any)
	return object
}

// withDefaults returns the fields of an entry with their defaults, nil if there is none.
func withDefaults(kind Kind, entry any) map[string]any {
	fields, _ := entry.(map[string]any)
	if fields == nil {
		return nil
	}
	out := map[string]any{}
	for name, v := range fieldDefaults[kind] {
		out[name] = v
	}
	maps.Copy(out, fields)
	return out
}

// describeRemoval says what the removal of an entry takes away.
func describeRemoval(kind string, before map[string]any) string {
	switch Kind(kind) {
	case KindKey:
		return fmt.Sprintf("is removed: requests of workspace %q with it are refused", before["workspace"])
	case KindRoute:
		return fmt.Sprintf("is removed: calls to the service %q by it are refused", before["service"])
	case KindWorkspace:
		return fmt.Sprintf("is removed, with its rate of %v tokens per second and burst of %v", before["tokens_per_second"], before["burst_tokens"])
	case KindAdapter:
		return fmt.Sprintf("is removed: requests of workspace %q to it are refused", before["workspace"])
	}
	return "is removed"
}
