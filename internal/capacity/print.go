package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Fprint writes the points of the series as lines of the Go benchmark format, and then the tables.
func Fprint(w io.Writer, r Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) } // Flush reports the error
	for _, s := range r.Series {
		for _, p := range s.Points {
			printf("BenchmarkCapacity/%s/%s=%.0f\t1\t%.4g %s\n", s.Name, s.Per, p.Size, p.Value, s.Unit)
		}
	}
	printf("\nseries\tslope\tintercept\tunit\n")
	for _, s := range r.Series {
		printf("%s\t%.4g\t%.4g\t%s per %s\n", s.Name, s.Slope, s.Intercept, s.Unit, s.Per)
	}
	printf("\nrole\tcost at the two-year size\tvalue\tbudget\tunit\tverdict\tthis alone meets the budget at\n")
	for _, c := range r.Costs {
		verdict := "within"
		if c.Over {
			verdict = "EXCEEDED"
		}
		printf("%s\t%s\t%.4g\t%.4g\t%s\t%s\t%s\n", c.Role, c.Name, c.Value, c.Budget, c.Resource, verdict, c.Limit)
	}
	return t.Flush()
}
