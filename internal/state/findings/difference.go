package findings

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
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

func (a Action) rank() int {
	if a == ActionRemove {
		a = ActionReduce
	}
	return slices.Index([]Action{ActionReduce, ActionChange, ActionAdd}, a)
}

// Difference is what a document changes in one entry of another.
type Difference struct {
	Action Action `json:"action"`
	Kind   string `json:"kind"`
	ID     string `json:"id"`
	// Line is the line of the entry in the new document; 0 for a removed entry.
	Line int `json:"line,omitempty"`
	// Path is the JSON pointer of the entry, for a removed one that in the old document.
	Path string `json:"path"`
	// Words says what changes, as a clause for each field.
	Words string `json:"words"`
}

// Rules say what a change of a field takes away and how it is described. Nested fields have names with dots.
type Rules struct {
	// KindOrder lists the kinds in the order in which differences are listed, those that matter most to callers first.
	KindOrder []string
	// Falls lists the numbers of which a lower value takes something away, Rises those of which a higher value does, and
	// Changes the fields of which any change does. Losses lists fields of which that is so if they are unset, and Gains if
	// they are set.
	Falls, Rises, Changes, Losses, Gains []string
	// Secrets maps fields whose values are not shown to what is said of their change.
	Secrets map[string]string
	// DescribeRemoval says what the removal of an entry takes away.
	DescribeRemoval func(kind string, before map[string]any) string
	// DescribeAddition says what an addition adds.
	DescribeAddition func(kind string, after map[string]any) string
}

// Compare compares two forms of an entry, of which nil means that it doesn't exist, and reports whether they differ.
func (r *Rules) Compare(kind string, before, after map[string]any) (Difference, bool) {
	switch {
	case after == nil:
		return Difference{Action: ActionRemove, Kind: kind, Words: r.DescribeRemoval(kind, before)}, true
	case before == nil:
		return Difference{Action: ActionAdd, Kind: kind, Words: r.DescribeAddition(kind, after)}, true
	}
	old, new := flat(before), flat(after)
	names := maps.Clone(old)
	maps.Copy(names, new)
	d := Difference{Action: ActionChange, Kind: kind}
	var clauses []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if reflect.DeepEqual(old[name], new[name]) {
			continue
		}
		words, reduces := r.describeField(name, old[name], new[name])
		clauses = append(clauses, words)
		if reduces {
			d.Action = ActionReduce
		}
	}
	d.Words = strings.Join(clauses, "; ")
	return d, len(clauses) > 0
}

// Sort orders differences: first what is taken away, then other changes, then additions, each ordered by kind and id.
func (r *Rules) Sort(list []Difference) {
	slices.SortStableFunc(list, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Action.rank(), b.Action.rank()),
			cmp.Compare(slices.Index(r.KindOrder, a.Kind), slices.Index(r.KindOrder, b.Kind)), cmp.Compare(a.ID, b.ID))
	})
}

// flat returns the fields of an entry without nesting.
func flat(entry map[string]any) map[string]any {
	out := map[string]any{}
	flatten(out, "", entry)
	return out
}

func flatten(out map[string]any, prefix string, fields map[string]any) {
	for name, v := range fields {
		if nested, ok := v.(map[string]any); ok {
			flatten(out, prefix+name+".", nested)
		} else {
			out[prefix+name] = v
		}
	}
}

// listed reports whether a list has a field or the field that it is nested in.
func listed(list []string, name string) bool {
	outer, _, _ := strings.Cut(name, ".")
	return slices.Contains(list, name) || slices.Contains(list, outer)
}

// describeField says how a field changes and reports whether that takes something away.
func (r *Rules) describeField(name string, before, after any) (string, bool) {
	if words, ok := r.Secrets[name]; ok {
		return words, true
	}
	if list, ok := before.([]any); ok {
		return describeList(name, list, after)
	}
	from, isNumber := before.(json.Number)
	to, stillNumber := after.(json.Number)
	if isNumber && stillNumber {
		// Both come from values that were decoded, so they are numbers.
		a, _ := from.Float64()
		b, _ := to.Float64()
		verb, reduces := "rises", listed(r.Rises, name)
		if b < a {
			verb, reduces = "falls", listed(r.Falls, name)
		}
		return fmt.Sprintf("%s %s from %v to %v", name, verb, from, to), reduces
	}
	reduces := listed(r.Changes, name) || listed(r.Losses, name) && after == nil || listed(r.Gains, name) && before == nil
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
