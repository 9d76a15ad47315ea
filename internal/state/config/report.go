package config

import (
	"github.com/gravitational/trace"

	"github.com/turmericworks/turmericworks/internal/state/findings"
)

// CheckFile checks a document as text. If inForce isn't nil, the report has the differences from it, unless the document
// has errors for which instances refuse it. A document without keys leaves the keys in force as they are.
func CheckFile(data []byte, inForce *Document) (findings.Report, error) {
	r := findings.NewReport()
	d, err := ParseDocument(data)
	problems := ProblemsOf(err)
	if err != nil && problems == nil {
		r.Findings = append(r.Findings, findings.OfSyntax(data, err))
		return r, nil
	}
	refused := err != nil
	if !refused && inForce != nil && len(d.Keys) == 0 {
		d.Keys = inForce.Keys
		problems = ProblemsOf(checkReferences(d, nil))
	}
	r.Findings = errorsOf(problems)
	r.AppendUnreported(ViewOf(0, d).Findings())
	if inForce != nil && !refused {
		if r.Differences, err = Differences(*inForce, d); err != nil {
			return r, trace.Wrap(err)
		}
		r.Compared = true
	}
	r.Finish(data)
	return r, nil
}

// Locate returns the errors that ParseDocument found in a text, with their lines.
func Locate(data []byte, err error) []findings.Finding {
	problems := ProblemsOf(err)
	if problems == nil {
		return []findings.Finding{findings.OfSyntax(data, err)}
	}
	r := findings.Report{Findings: errorsOf(problems)}
	r.AddLines(data)
	return r.Findings
}

func errorsOf(problems Problems) []findings.Finding {
	found := make([]findings.Finding, len(problems))
	for i, p := range problems {
		found[i] = findings.Finding{Severity: findings.SeverityError, Path: p.Path, Message: p.Message}
	}
	return found
}
