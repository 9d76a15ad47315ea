package gatewaystatus

import (
	"encoding/json"
	"errors"
	"math"
	"testing"
)

func sample(metric string, value float64, labels ...string) Sample {
	s := Sample{Metric: metric, Value: value, Labels: map[string]string{}}
	for i := 0; i < len(labels); i += 2 {
		s.Labels[labels[i]] = labels[i+1]
	}
	return s
}

// TestMerge guards against instances whose views are mixed up: a record that one of them lacks, a longer remaining time at
// one, a worker that is cold until further notice, which JSON can't hold as a number, and instances that were not read.
func TestMerge(t *testing.T) {
	era := sample(metricEra, 1)
	got, err := json.Marshal(Merge([]Instance{
		{Address: "a", Samples: []Sample{
			era, sample(metricEvacuated, 1, "data_centre", "z1", "era", "1", "offset", "7"), sample(metricEvacuatedSince, 1000.5, "data_centre", "z1"),
			sample(metricEvacuation, 3, "data_centre", "z1", "outcome", "moved"), sample(metricEvacuation, 2, "data_centre", "z1", "outcome", "refused"),
			sample(metricColdRemaining, 1, "worker", "w@1"), sample(metricColdRate, 17, "worker", "w@1"), sample(metricColdSent, 5, "worker", "w@1"),
			sample(metricColdRemaining, 0, "worker", "x@1"), sample(metricColdSent, 5, "worker", "x@1"),
			sample(metricColdRemaining, 2, "worker", "y@1"),
		}},
		{Address: "b", Samples: []Sample{
			era, sample(metricEvacuated, 1, "data_centre", "z1", "era", "1", "offset", "7"), sample(metricEvacuatedSince, 1000, "data_centre", "z1"),
			sample(metricEvacuation, 4, "data_centre", "z1", "outcome", "moved"),
			sample(metricColdRemaining, 1.5, "worker", "w@1"), sample(metricColdRate, 17, "worker", "w@1"), sample(metricColdSent, 6, "worker", "w@1"),
			sample(metricColdRemaining, math.Inf(1), "worker", "y@1"),
		}},
		{Address: "c", Samples: []Sample{era}},
		{Address: "d", Err: errors.New("refused")},
		{Address: "e"},
	}))
	const want = `{"instances":[{"address":"a"},{"address":"b"},{"address":"c"},{"address":"d","error":"refused"},` +
		`{"address":"e","error":"it exports no metrics of turmeric-gateway"}],` +
		`"evacuated_data_centres":[{"data_centre":"z1","era":1,"offset":7,"since":"1970-01-01T00:16:40Z","instances":2,"missing":["c"],"moved":7,"refused":2}],` +
		`"cold_workers":[{"worker":"w@1","remaining_seconds":1.5,"requests_per_second":17,"sent":11,"instances":2},` +
		`{"worker":"y@1","remaining_seconds":null,"requests_per_second":null,"sent":0,"instances":2}]}`
	if err != nil || string(got) != want {
		t.Errorf("got  %s, %v\nwant %s", got, err, want)
	}
}
