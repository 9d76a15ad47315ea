package check

import (
	"hash/maphash"

	"github.com/turmericworks/turmericworks/internal/state/findings"
	"github.com/turmericworks/turmericworks/internal/state/routing"
)

// History tells which findings of a version the previous one did not have. The zero value knows no version.
type History struct {
	seed maphash.Seed
	// known holds hashes of the findings of the previous version: the findings themselves may take megabytes.
	known map[uint64]struct{}
}

// identity is what a finding is recognised by in another version, in which entries may have other indices.
type identity struct {
	severity findings.Severity
	kind     Kind
	name     string
	field    Field
	message  string
}

// Added returns findings of a version that the previous one did not have, errors first, most of them at most, and the number
// of all such findings. The version is the previous one of the next call.
func (h *History) Added(c *routing.Config, most int) (added []Finding, total int) {
	if h.known == nil {
		h.seed = maphash.MakeSeed()
	}
	current := map[uint64]struct{}{}
	var warnings []Finding
	Each(c, func(f Finding) {
		id := maphash.Comparable(h.seed, identity{f.Severity, f.Place.Kind, f.Place.Name, f.Place.Field, f.Message})
		_, known := h.known[id]
		_, repeated := current[id]
		current[id] = struct{}{}
		if known || repeated {
			return
		}
		total++
		switch {
		case f.Severity == findings.SeverityError && len(added) < most:
			added = append(added, f)
		case f.Severity == findings.SeverityWarning && len(warnings) < most:
			warnings = append(warnings, f)
		}
	})
	h.known = current
	return append(added, warnings[:min(len(warnings), most-len(added))]...), total
}
