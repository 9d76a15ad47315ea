package replay

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/config"
)

// Result is the outcome of a case under one policy. It leaves out warm-up and drain, except for lost and
// duplicated requests.
type Result struct {
	Policy string
	// Loads is the number of adapter loads started.
	Loads int
	// LoadsByCause counts the loads by cause.
	LoadsByCause [causeCount]int
	// Stalls is the number of requests that waited for a load, or -1 if it is not defined for the policy.
	Stalls int
	// Efficiency is the fraction of the usable batch capacity that was used. Capacity is usable
	// while its engine is up and a request in the system could use it; a single queue with full
	// knowledge and no loads reaches 1.
	Efficiency float64
	// WorstShare is the smallest ratio of a workspace's service to its fair share. The fair shares
	// divide the total service by max-min fairness with equal weights.
	WorstShare float64
	// Waits are percentiles of the time from arrival to the last start.
	Waits
	// ByClass holds the same percentiles by service class.
	ByClass  map[config.Class]Waits
	Requests int
	// Lost and Duplicated count requests that never finished or finished more than once.
	Lost, Duplicated int
	// Errors are actions of the policy that an engine could not carry out, such as evicting an adapter in use.
	Errors []string
}

// Waits are percentiles of waiting times.
type Waits struct{ P50, P95, P99 time.Duration }

// Names of the policies, in the order of the table.
const (
	Turmeric      = "turmeric"
	LeastLoaded   = "least-loaded LRU"
	ResidentFirst = "resident-first LRU"
	RoundRobin    = "round robin"
	FCFS          = "first come"
	StaticSplit   = "static split"
	Clairvoyant   = "clairvoyant"
)

// Run simulates a case under the given policies, or under all if none is given.
func Run(c Case, policies ...string) []Result {
	return run(c, generate(c), policies...)
}

// run simulates a case with the given workload, which it does not change.
func run(c Case, w *workload, policies ...string) []Result {
	if len(policies) == 0 {
		policies = []string{Turmeric, LeastLoaded, ResidentFirst, RoundRobin, FCFS, StaticSplit, KnownRates, Clairvoyant}
	}
	var out []Result
	for _, name := range policies {
		if name == Clairvoyant {
			out = append(out, clairvoyant(c, w))
			continue
		}
		if name == KnownRates {
			out = append(out, knownRates(c, w))
			continue
		}
		s := newSim(c, w)
		s.run(newDispatcher(name, s))
		out = append(out, s.result(name))
	}
	return out
}

func newDispatcher(name string, s *sim) dispatcher {
	switch name {
	case LeastLoaded:
		return newImmediateDispatcher(s, leastLoaded)
	case ResidentFirst:
		return newImmediateDispatcher(s, residentFirst)
	case RoundRobin:
		return newImmediateDispatcher(s, roundRobin)
	case StaticSplit:
		return newImmediateDispatcher(s, staticSplit)
	default:
		return newPlacementDispatcher(s, name == FCFS)
	}
}

func (s *sim) result(name string) Result {
	r := Result{Policy: name, Loads: s.loads, LoadsByCause: s.loadsByCause, Efficiency: s.usedSeconds / s.usableSeconds, Errors: s.errors}
	var all []time.Duration
	byClass := map[config.Class][]time.Duration{}
	demand := make([]float64, len(s.c.Shares))
	for _, j := range s.jobs {
		switch {
		case j.completions == 0:
			r.Lost++
		case j.completions > 1:
			r.Duplicated++
		}
		if j.at < s.c.Warmup {
			continue
		}
		r.Requests++
		demand[j.workspace] += j.service.Seconds()
		if j.stalled {
			r.Stalls++
		}
		if j.completions > 0 {
			all = append(all, j.started-j.at)
			byClass[j.class] = append(byClass[j.class], j.started-j.at)
		}
	}
	r.Waits = percentiles(all)
	r.ByClass = map[config.Class]Waits{}
	for class, waits := range byClass {
		r.ByClass[class] = percentiles(waits)
	}
	r.WorstShare = worstShare(demand, s.servedSeconds)
	return r
}

func percentiles(waits []time.Duration) Waits {
	if len(waits) == 0 {
		return Waits{}
	}
	slices.Sort(waits)
	at := func(q float64) time.Duration { return waits[int(q*float64(len(waits)-1))] }
	return Waits{at(0.5), at(0.95), at(0.99)}
}

// worstShare divides the total service by max-min fairness and returns the smallest ratio of a
// workspace's service to its fair share.
func worstShare(demand, served []float64) float64 {
	order := make([]int, len(demand))
	remaining := 0.0
	for i := range order {
		order[i] = i
		remaining += served[i]
	}
	sort.Slice(order, func(a, b int) bool { return demand[order[a]] < demand[order[b]] })
	worst := math.Inf(1)
	for k, i := range order {
		fair := min(demand[i], remaining/float64(len(order)-k))
		remaining -= fair
		if fair > 0 {
			worst = min(worst, served[i]/fair)
		}
	}
	return worst
}

// Table is the results of one case.
type Table struct {
	Case    Case
	Results []Result
}

// bound returns the clairvoyant bound on loads, or zero if the table does not have it.
func (t Table) bound() int {
	for _, r := range t.Results {
		if r.Policy == Clairvoyant {
			return r.Loads
		}
	}
	return 0
}

// Fprint writes a table as text.
func Fprint(out io.Writer, tab Table) error {
	c := tab.Case
	_, err := fmt.Fprintf(out, "%s: seed %d, %d engines, %d slots, batch %d, %.3g requests/s, skew %.3g\n",
		c.Name, c.Seed, c.Engines, c.Slots, c.Batch, c.Rate, c.Skew)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "policy\tloads\tof bound\tstalls\tefficiency\tworst share\tp50 s\tp95 s\tp99 s\tlost\tdoubled\terrors\t")
	for _, r := range tab.Results {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.2f\t%d\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\t\n", r.Policy, r.Loads,
			float64(r.Loads)/float64(tab.bound()), r.Stalls, r.Efficiency, r.WorstShare,
			r.P50.Seconds(), r.P95.Seconds(), r.P99.Seconds(), r.Lost, r.Duplicated, len(r.Errors))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return fprintTurmeric(out, tab)
}

// fprintTurmeric writes the waiting times by class and the causes of loads under the production policy.
func fprintTurmeric(out io.Writer, tab Table) error {
	for _, r := range tab.Results {
		if r.Policy != Turmeric {
			continue
		}
		for _, class := range slices.Sorted(maps.Keys(r.ByClass)) {
			w := r.ByClass[class]
			_, _ = fmt.Fprintf(out, "turmeric, %s: p50 %.2f s, p95 %.2f s, p99 %.2f s\n", class,
				w.P50.Seconds(), w.P95.Seconds(), w.P99.Seconds())
		}
		_, _ = fmt.Fprint(out, "turmeric, loads by cause:")
		for i, n := range r.LoadsByCause {
			_, _ = fmt.Fprintf(out, " %s %d;", causeNames[i], n)
		}
		_, _ = fmt.Fprintln(out)
	}
	_, err := fmt.Fprintln(out)
	return err
}
