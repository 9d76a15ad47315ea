package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// maxFaultDepth limits the path of a fault in text that isn't JSON; the values of a document have at most four levels.
const maxFaultDepth = 16

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

// CheckFile checks a document as text. If inForce isn't nil, the report has the differences from it, unless the document
// has errors for which instances refuse it. A document without keys leaves the keys in force as they are.
func CheckFile(data []byte, inForce *Document) (Report, error) {
	r := Report{Findings: []Finding{}, Differences: []Difference{}}
	d, err := ParseDocument(data)
	problems := ProblemsOf(err)
	if err != nil && problems == nil {
		r.Findings = append(r.Findings, syntaxFinding(data, err))
		return r, nil
	}
	refused := err != nil
	if !refused && inForce != nil && len(d.Keys) == 0 {
		d.Keys = inForce.Keys
		problems = ProblemsOf(checkReferences(d, nil))
	}
	r.Findings = appendUnreported(errorsOf(problems), ViewOf(0, d).Findings())
	if inForce != nil && !refused {
		if r.Differences, err = Differences(*inForce, d); err != nil {
			return r, trace.Wrap(err)
		}
		r.Compared = true
	}
	r.addLines(data)
	slices.SortStableFunc(r.Findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Line, b.Line), compareFindings(a, b))
	})
	if more := len(r.Findings) - maxProblems; more > 0 {
		cut := Finding{Severity: r.Findings[maxProblems].Severity, Message: fmt.Sprintf("and %d more", more)}
		r.Findings = append(r.Findings[:maxProblems], cut)
	}
	r.Valid = len(r.Findings) == 0 || r.Findings[0].Severity != SeverityError
	return r, nil
}

// appendUnreported appends findings, except those at or around a path at which an error is reported already: they only
// follow from it.
func appendUnreported(reported, found []Finding) []Finding {
	skip := map[string]bool{}
	for _, f := range reported {
		for path := f.Path; path != ""; path = path[:strings.LastIndexByte(path, '/')] {
			skip[path] = true
		}
	}
	for _, f := range found {
		if !skip[f.Path] {
			reported = append(reported, f)
		}
	}
	return reported
}

// addLines sets the lines of findings and differences.
func (r *Report) addLines(data []byte) {
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
		r.Differences[i].Line = lines[d.Path]
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

// findLines sets the lines of those paths that are in the data. If a field occurs twice, the line is that of the last one.
func findLines(data []byte, lines map[string]int) {
	line, counted := 1, 0
	s := scanResult{visit: func(path []string, offset int64) {
		line += bytes.Count(data[counted:offset], []byte("\n"))
		counted = int(offset)
		pointer := jsonPointer(path...)
		if _, wanted := lines[pointer]; wanted {
			lines[pointer] = line
		}
	}}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	// The data has been parsed before; if the scan failed nevertheless, lines would be missing from the report only.
	_ = s.scanValue(d, nil)
}

// syntaxFinding returns the finding for data that isn't JSON, with the line of the fault and the path of the last field
// or element before it.
func syntaxFinding(data []byte, err error) Finding {
	f := Finding{Severity: SeverityError, Line: 1 + bytes.Count(data, []byte("\n")), Message: trace.UserMessage(err)}
	var raw json.RawMessage
	var invalid *json.SyntaxError
	if errors.As(json.Unmarshal(data, &raw), &invalid) {
		f.Line = 1 + bytes.Count(data[:min(max(invalid.Offset-1, 0), int64(len(data)))], []byte("\n"))
	}
	var last []string
	s := scanResult{visit: func(path []string, _ int64) { last = append(last[:0], path[:min(len(path), maxFaultDepth)]...) }}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	// The scan fails at the same fault, which err describes.
	_ = s.scanValue(d, nil)
	f.Path = jsonPointer(last...)
	return f
}

// Locate returns the errors that ParseDocument found in a text, with their lines.
func Locate(data []byte, err error) []Finding {
	problems := ProblemsOf(err)
	if problems == nil {
		return []Finding{syntaxFinding(data, err)}
	}
	r := Report{Findings: errorsOf(problems)}
	r.addLines(data)
	return r.Findings
}

func errorsOf(problems Problems) []Finding {
	found := make([]Finding, len(problems))
	for i, p := range problems {
		found[i] = Finding{Severity: SeverityError, Path: p.Path, Message: p.Message}
	}
	return found
}
