package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// Action is what a difference does to an entry.
type Action string

// The actions, in the order in which differences are listed. ActionRemove and ActionReduce take something away from
// callers or from the fleet, and are listed together.
const (
	ActionRemove Action = "remove"
	ActionReduce Action = "reduce"
	ActionChange Action = "change"
	ActionAdd    Action = "add"
)

// Difference is what a document changes in one entry of another.
type Difference struct {
	Action Action `json:"action"`
	Kind   Kind   `json:"kind"`
	ID     string `json:"id"`
	// Line is the line of the entry in the new document; 0 for a removed entry.
	Line int    `json:"line,omitempty"`
	Path string `json:"path"`
	// Words says what changes, as a clause for each field.
	Words string `json:"words"`
}

// kindOrder lists the kinds in the order in which differences are listed, those that matter most to callers first.
var kindOrder = []Kind{KindKey, KindRoute, KindWorkspace, KindAdapter, KindBackendServer, KindFleet}

// fieldDefaults holds the values of absent fields. A document encodes these fields with omitempty, so zero is absent too.
var fieldDefaults = map[Kind]map[string]json.Number{
	KindWorkspace:     {"weight": "1"},
	KindAdapter:       {"worth": "1", "deadline_seconds": json.Number(fmt.Sprint(defaultCompletionDeadline.Seconds()))},
	KindRoute:         {"tokens": "1", "deadline_seconds": json.Number(fmt.Sprint(defaultServiceDeadline.Seconds()))},
	KindBackendServer: {"max_batch": "32"},
}

// reducingFalls lists the numbers of which a lower value takes something away. A higher value of "tokens" does.
var reducingFalls = []string{"tokens_per_second", "burst_tokens", "weight", "worth", "deadline_seconds", "slots", "max_batch",
	"weight_store.loads_per_second", "weight_store.full_speed", "weight_store.max_in_flight"}

// reducingChanges lists the fields of which any change takes an entry away from somebody who uses it.
var reducingChanges = []string{"hash", "workspace"}

// Differences returns what the new document changes in the old one, one for each entry that differs in effect: first what
// is taken away, then other changes, then additions, each ordered by kind and id.
func Differences(old, new Document) ([]Difference, error) {
	var list []Difference
	add := func(kind Kind, field string, before, after map[string]any) {
		ids := maps.Clone(before)
		maps.Copy(ids, after)
		for id := range ids {
			path := jsonPointer(field, id)
			if kind == KindFleet {
				path = jsonPointer(field)
			}
			if d, differs := compareEntry(kind, before[id], after[id]); differs {
				d.Kind, d.ID, d.Path = kind, id, path
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
	slices.SortFunc(list, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Action.rank(), b.Action.rank()),
			cmp.Compare(slices.Index(kindOrder, a.Kind), slices.Index(kindOrder, b.Kind)), cmp.Compare(a.ID, b.ID))
	})
	return list, nil
}

func (a Action) rank() int {
	if a == ActionRemove {
		a = ActionReduce
	}
	return slices.Index([]Action{ActionReduce, ActionChange, ActionAdd}, a)
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

// compareEntry compares two forms of an entry, of which nil means that it doesn't exist, and reports whether they differ
// in effect.
func compareEntry(kind Kind, before, after any) (Difference, bool) {
	switch {
	case after == nil:
		return Difference{Action: ActionRemove, Words: describeRemoval(kind, before)}, true
	case before == nil:
		words := "is added"
		if owner, ok := after.(map[string]any)["workspace"]; ok {
			words += fmt.Sprintf(" to workspace %q", owner)
		}
		return Difference{Action: ActionAdd, Words: words}, true
	}
	old, new := leaves(kind, before), leaves(kind, after)
	names := maps.Clone(old)
	maps.Copy(names, new)
	d := Difference{Action: ActionChange}
	var clauses []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if reflect.DeepEqual(old[name], new[name]) {
			continue
		}
		words, reduces := describeField(name, old[name], new[name])
		clauses = append(clauses, words)
		if reduces {
			d.Action = ActionReduce
		}
	}
	d.Words = strings.Join(clauses, "; ")
	return d, len(clauses) > 0
}

// describeRemoval says what the removal of an entry takes away.
func describeRemoval(kind Kind, before any) string {
	fields, _ := before.(map[string]any)
	switch kind {
	case KindKey:
		return fmt.Sprintf("is removed: requests of workspace %q with it are refused", fields["workspace"])
	case KindRoute:
		return fmt.Sprintf("is removed: calls to the service %q by it are refused", fields["service"])
	case KindWorkspace:
		return fmt.Sprintf("is removed, with its rate of %v tokens per second and burst of %v", fields["tokens_per_second"], fields["burst_tokens"])
	case KindAdapter:
		return fmt.Sprintf("is removed: requests of workspace %q to it are refused", fields["workspace"])
	}
	return "is removed"
}

// leaves returns the fields of an entry with their defaults; nested fields have names with dots.
func leaves(kind Kind, entry any) map[string]any {
	flat := map[string]any{}
	for name, v := range fieldDefaults[kind] {
		flat[name] = v
	}
	flatten(flat, "", entry)
	return flat
}

func flatten(flat map[string]any, prefix string, value any) {
	fields, _ := value.(map[string]any)
	for name, v := range fields {
		if _, nested := v.(map[string]any); nested {
			flatten(flat, prefix+name+".", v)
		} else {
			flat[prefix+name] = v
		}
	}
}

// describeField says how a field changes and reports whether that takes something away.
func describeField(name string, before, after any) (string, bool) {
	if name == "hash" {
		return "the secret changes: the old one is refused", true
	}
	if list, ok := before.([]any); ok {
		return describeList(name, list, after)
	}
	from, isNumber := before.(json.Number)
	to, stillNumber := after.(json.Number)
	if isNumber && stillNumber {
		// Both have passed the check of the document, so they are numbers.
		a, _ := from.Float64()
		b, _ := to.Float64()
		verb, reduces := "rises", name == "tokens"
		if b < a {
			verb, reduces = "falls", slices.Contains(reducingFalls, name)
		}
		return fmt.Sprintf("%s %s from %v to %v", name, verb, from, to), reduces
	}
	reduces := slices.Contains(reducingChanges, name) || name == "open" && before != nil || name == "leaving" && after != nil
	switch {
	case before == nil:
		return fmt.Sprintf("%s is set to %s", name, quoted(after)), reduces
	case after == nil:
		return fmt.Sprintf("%s is unset, it was %s", name, quoted(before)), reduces
	}
	return fmt.Sprintf("%s changes from %s to %s", name, quoted(before), quoted(after)), reduces
}

func describeList(name string, before []any, after any) (string, bool) {
	list, _ := after.([]any)
	var clauses []string
	for _, v := range before {
		if !slices.Contains(list, v) {
			clauses = append(clauses, fmt.Sprintf("%s lose %s", name, quoted(v)))
		}
	}
	reduces := len(clauses) > 0
	for _, v := range list {
		if !slices.Contains(before, v) {
			clauses = append(clauses, fmt.Sprintf("%s gain %s", name, quoted(v)))
		}
	}
	if len(clauses) == 0 {
		return name + " change their order", false
	}
	return strings.Join(clauses, "; "), reduces
}

func quoted(v any) string {
	if s, ok := v.(string); ok {
		return fmt.Sprintf("%q", s)
	}
	return fmt.Sprint(v)
}
