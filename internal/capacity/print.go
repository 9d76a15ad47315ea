package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Fprint prints the series, one line of the benchmark format per point, and the tables.
func Fprint(w io.Writer, r Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	lines := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) } // Flush reports the error
	for _, s := range r.Series {
		for _, p := range s.Points {
			lines("BenchmarkCapacity/%s/%s=%.0f\t1\t%.4g %s\n", s.Name, s.Per, p.Size, p.Value, s.Unit)
		}
	}
	lines("\nseries\tslope\tintercept\tunit\n")
	for _, s := range r.Series {
		lines("%s\t%.4g\t%.4g\t%s per %s\n", s.Name, s.Slope, s.Intercept, s.Unit, s.Per)
	}
	lines("\nrole\tcost at the two-year size\tvalue\tbudget\tunit\tverdict\tthis alone meets the budget at\n")
	for _, i := range r.Items {
		verdict := "within"
		if i.Over {
			verdict = "EXCEEDED"
		}
		lines("%s\t%s\t%.4g\t%.4g\t%s\t%s\t%s\n", i.Role, i.Name, i.Value, i.Budget, i.Resource, verdict, i.Limit)
	}
	return t.Flush()
}
