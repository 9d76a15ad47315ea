// Package gatewaystatus merges the metrics of several instances of the gateway into what operators ask: which data centres
// are evacuated, and which workers are cold.
package gatewaystatus

import (
	"cmp"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// The metrics that are read; docs/OPERATIONS.md describes them.
const (
	metricEra            = "turmeric_log_service_era"
	metricEvacuated      = "turmeric_evacuated_data_centres"
	metricEvacuatedSince = "turmeric_evacuation_start_seconds"
	metricEvacuation     = "turmeric_evacuation_requests_total"
	metricColdRemaining  = "turmeric_cold_worker_remaining_seconds"
	metricColdRate       = "turmeric_cold_worker_requests_per_second"
	metricColdSent       = "turmeric_cold_worker_requests_total"
)

// Sample is one value of a metric.
type Sample struct {
	Metric string
	Labels map[string]string
	Value  float64
}

// ParseSamples parses the counters and gauges of metrics in the text format.
func ParseSamples(text io.Reader) ([]Sample, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(text)
	if err != nil {
		return nil, trace.Wrap(err, "reading the metrics")
	}
	var samples []Sample
	for name, f := range families {
		for _, m := range f.GetMetric() {
			s := Sample{Metric: name, Labels: map[string]string{}, Value: m.GetCounter().GetValue() + m.GetGauge().GetValue()}
			for _, l := range m.GetLabel() {
				s.Labels[l.GetName()] = l.GetValue()
			}
			samples = append(samples, s)
		}
	}
	return samples, nil
}

// Instance holds the metrics of one instance, or the error for which they could not be read.
type Instance struct {
	Address string
	Samples []Sample
	Err     error
}

// Evacuation is an evacuated data centre with the record that decides. If instances know different records, there is one
// for each record.
type Evacuation struct {
	DataCentre string `json:"data_centre"`
	Era        int64  `json:"era"`
	Offset     int64  `json:"offset"`
	// Since is the earliest time that an instance names.
	Since time.Time `json:"since"`
	// Instances is the number of instances at which the record is in force, and Missing lists the others that were read.
	Instances int      `json:"instances"`
	Missing   []string `json:"missing"`
	// Moved and Refused are the numbers of requests at all instances that evacuations of the data centre affected.
	Moved   int64 `json:"moved"`
	Refused int64 `json:"refused"`
}

// ColdWorker is a worker that is cold for at least one instance.
type ColdWorker struct {
	Worker string `json:"worker"`
	// RemainingSeconds is the longest time that an instance names, nil if one counts the worker as cold until the registry
	// says otherwise.
	RemainingSeconds *float64 `json:"remaining_seconds"`
	// RequestsPerSecond is the limit for all instances together; nil if no instance exports it. If the instances have different
	// limits, it is the lowest.
	RequestsPerSecond *float64 `json:"requests_per_second"`
	// Sent is the number of requests that all instances sent while the worker was cold.
	Sent int64 `json:"sent"`
	// Instances is the number of instances for which the worker is cold.
	Instances int `json:"instances"`
}

// InstanceState says whether an instance was read.
type InstanceState struct {
	Address string `json:"address"`
	Error   string `json:"error,omitempty"`
}

// Status is what the instances say together.
type Status struct {
	Instances   []InstanceState `json:"instances"`
	Evacuations []Evacuation    `json:"evacuated_data_centres"`
	ColdWorkers []ColdWorker    `json:"cold_workers"`
}

// Unread returns the number of instances that were not read.
func (s *Status) Unread() (n int) {
	for _, i := range s.Instances {
		if i.Error != "" {
			n++
		}
	}
	return n
}

type record struct {
	dataCentre  string
	era, offset int64
}

// outcomes holds the requests that the evacuation of a data centre affected.
type outcomes struct{ moved, refused int64 }

type merger struct {
	evacuations map[record]*Evacuation
	at          map[record]map[string]bool
	requests    map[string]outcomes
	cold        map[string]*ColdWorker
}

// Merge merges what instances export.
func Merge(instances []Instance) Status {
	m := merger{
		evacuations: map[record]*Evacuation{}, at: map[record]map[string]bool{}, requests: map[string]outcomes{}, cold: map[string]*ColdWorker{},
	}
	s := Status{Instances: []InstanceState{}, Evacuations: []Evacuation{}, ColdWorkers: []ColdWorker{}}
	var read []string
	for _, i := range instances {
		state := InstanceState{Address: i.Address}
		err := i.Err
		if err == nil && !slices.ContainsFunc(i.Samples, func(s Sample) bool { return s.Metric == metricEra }) {
			err = trace.NotFound("it exports no metrics of turmeric-gateway")
		}
		if err != nil {
			state.Error = trace.UserMessage(err)
		} else {
			read = append(read, i.Address)
			m.addEvacuations(i)
			m.addColdWorkers(i.Samples)
		}
		s.Instances = append(s.Instances, state)
	}
	for r, e := range m.evacuations {
		e.Instances, e.Missing = len(m.at[r]), []string{}
		for _, address := range read {
			if !m.at[r][address] {
				e.Missing = append(e.Missing, address)
			}
		}
		e.Moved, e.Refused = m.requests[e.DataCentre].moved, m.requests[e.DataCentre].refused
		s.Evacuations = append(s.Evacuations, *e)
	}
	slices.SortFunc(s.Evacuations, func(a, b Evacuation) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Era, b.Era), cmp.Compare(a.Offset, b.Offset))
	})
	for _, name := range slices.Sorted(maps.Keys(m.cold)) {
		if w := m.cold[name]; w.Instances > 0 {
			s.ColdWorkers = append(s.ColdWorkers, *w)
		}
	}
	return s
}

func (m *merger) addEvacuations(i Instance) {
	since := map[string]time.Time{}
	for _, s := range i.Samples {
		if s.Metric == metricEvacuatedSince {
			since[s.Labels["data_centre"]] = time.UnixMilli(int64(math.Round(s.Value * 1000))).UTC()
		}
	}
	for _, s := range i.Samples {
		dataCentre := s.Labels["data_centre"]
		switch s.Metric {
		case metricEvacuation:
			o := m.requests[dataCentre]
			if s.Labels["outcome"] == "moved" {
				o.moved += int64(s.Value)
			} else {
				o.refused += int64(s.Value)
			}
			m.requests[dataCentre] = o
		case metricEvacuated:
			if s.Value != 1 {
				continue
			}
			r := record{dataCentre, number(s.Labels["era"]), number(s.Labels["offset"])}
			if m.evacuations[r] == nil {
				m.evacuations[r] = &Evacuation{DataCentre: r.dataCentre, Era: r.era, Offset: r.offset, Since: since[dataCentre]}
				m.at[r] = map[string]bool{}
			}
			if e := m.evacuations[r]; since[dataCentre].Before(e.Since) {
				e.Since = since[dataCentre]
			}
			m.at[r][i.Address] = true
		}
	}
}

// number parses the number in a label, which the gateway writes; anything else counts as 0.
func number(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (m *merger) addColdWorkers(samples []Sample) {
	for _, s := range samples {
		name := s.Labels["worker"]
		w := m.cold[name]
		if w == nil {
			w = &ColdWorker{Worker: name, RemainingSeconds: new(float64)}
		}
		switch s.Metric {
		case metricColdRemaining:
			if s.Value > 0 {
				w.Instances++
			}
			if math.IsInf(s.Value, 1) {
				w.RemainingSeconds = nil
			} else if w.RemainingSeconds != nil {
				*w.RemainingSeconds = max(*w.RemainingSeconds, s.Value)
			}
		case metricColdRate:
			if w.RequestsPerSecond == nil || s.Value < *w.RequestsPerSecond {
				w.RequestsPerSecond = &s.Value
			}
		case metricColdSent:
			w.Sent += int64(s.Value)
		default:
			continue
		}
		m.cold[name] = w
	}
}
