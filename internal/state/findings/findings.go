// Package findings holds what the checks of configurations have in common: findings with their severity and place, the
// differences between two versions, and the report of both. Each check has its own rules.
package findings

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Max limits how many findings a report lists; a document of the wrong type could have 93,000.
const Max = 1000

// Severity is how serious a finding is.
type Severity string

// The severities. An entry with an error is refused by the instances or has all its requests refused.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Finding is one result of the check of a document.
type Finding struct {
	Severity Severity `json:"severity"`
	// Line is the line of the file, from 1, on which the value or the closest enclosing value starts; 0 means that the
	// value isn't in a file.
	Line int `json:"line,omitempty"`
	// Path is the JSON pointer (RFC 6901) of the value.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Compare orders findings by path.
func Compare(a, b Finding) int {
	return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Message, b.Message))
}

// Report is the result of the check of a document before it is published.
type Report struct {
	// Valid means that there are no errors; there may be warnings.
	Valid bool `json:"valid"`
	// Findings lists errors first, each ordered by line.
	Findings []Finding `json:"findings"`
	// Compared means that Differences was determined.
	Compared bool `json:"compared"`
	// Differences lists what the document changes in the configuration in force.
	Differences []Difference `json:"differences"`
}

// NewReport returns an empty report, whose lists are encoded as empty lists.
func NewReport() Report { return Report{Findings: []Finding{}, Differences: []Difference{}} }

// AppendUnreported appends findings, except those at or around a path at which an error is reported already: they only
// follow from it.
func (r *Report) AppendUnreported(found []Finding) {
	skip := map[string]bool{}
	for _, f := range r.Findings {
		if f.Severity != SeverityError {
			continue
		}
		for path := f.Path; path != ""; path = path[:strings.LastIndexByte(path, '/')] {
			skip[path] = true
		}
	}
	for _, f := range found {
		if !skip[f.Path] {
			r.Findings = append(r.Findings, f)
		}
	}
}

// Finish adds the lines of the document's text to the findings and differences, sorts and limits the findings, and sets
// Valid.
func (r *Report) Finish(data []byte) {
	r.AddLines(data)
	slices.SortStableFunc(r.Findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Line, b.Line), Compare(a, b))
	})
	if more := len(r.Findings) - Max; more > 0 {
		cut := Finding{Severity: r.Findings[Max].Severity, Message: fmt.Sprintf("and %d more", more)}
		r.Findings = append(r.Findings[:Max], cut)
	}
	r.Valid = len(r.Findings) == 0 || r.Findings[0].Severity != SeverityError
}

// AddLines sets the lines of findings and differences.
func (r *Report) AddLines(data []byte) {
	lines := map[string]int{}
	for _, f := range r.Findings {
		for path := f.Path; path != ""; path = path[:strings.LastIndexByte(path, '/')] {
			lines[path] = 0
		}
	}
	for _, d := range r.Differences {
		lines[d.Path] = 0
	}
	findLines(data, lines)
	for i, f := range r.Findings {
		r.Findings[i].Line = lineOf(lines, f.Path)
	}
	for i, d := range r.Differences {
		if d.Action != ActionRemove {
			r.Differences[i].Line = lines[d.Path]
		}
	}
}

// lineOf returns the line of the path or else of the closest enclosing value below the document itself; fields that are
// missing have none of their own.
func lineOf(lines map[string]int, path string) int {
	for ; path != ""; path = path[:strings.LastIndexByte(path, '/')] {
		if lines[path] > 0 {
			return lines[path]
		}
	}
	return 0
}

var pointerEscapes = strings.NewReplacer("~", "~0", "/", "~1")

// Pointer returns the JSON pointer of a path; the empty path refers to the whole value.
func Pointer(path ...string) string {
	var b strings.Builder
	for _, p := range path {
		b.WriteByte('/')
		b.WriteString(pointerEscapes.Replace(p))
	}
	return b.String()
}

// Number returns a number as the value of a field that Rules compare.
func Number(v any) json.Number { return json.Number(fmt.Sprint(v)) }
