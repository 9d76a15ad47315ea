package capacity

import (
	"math"
	"testing"
)

// TestPlan guards against verdicts and limits that do not follow from the series.
func TestPlan(t *testing.T) {
	line, err := measureSeries("heartbeat-bytes", "report", "B", []int{0, 5, 50}, func(n int) (float64, error) { return 300 + 40*float64(n), nil })
	if err != nil || math.Abs(line.Slope-40) > 1e-9 || math.Abs(line.Intercept-300) > 1e-9 || math.Abs(line.At(10)-700) > 1e-9 {
		t.Fatalf("%+v, %v", line, err)
	}
	idle := Series{Name: "log-idle-bytes-per-stream", Points: []Point{{7, 100}}}
	want := map[string]Cost{
		"heartbeats, no report changed":                 {Value: 859 * 4 * 300, Over: true, Limit: "10 nodes"},
		heartbeatsAllChanged:                            {Value: 859 * 4 * 500, Over: true, Limit: "6 nodes"},
		"long polls of three streams, nothing appended": {Value: 300},
	}
	for _, c := range Plan([]Series{line, idle}, TwoYearTarget) {
		w, ok := want[c.Name]
		if !ok || c.Resource != unitTraffic {
			continue
		}
		delete(want, c.Name)
		if math.Abs(c.Value-w.Value) > 1e-6 || c.Over != w.Over || c.Limit != w.Limit {
			t.Errorf("%+v, want %+v", c, w)
		}
	}
	if len(want) > 0 {
		t.Errorf("missing: %v", want)
	}
}

// TestHeartbeatBytes guards against a measurement of heartbeats without the stated number of reports.
func TestHeartbeatBytes(t *testing.T) {
	bytes, _, err := Heartbeats([]int{0, 5, 20})
	if err != nil || bytes.Slope < 30 || bytes.Slope > 70 || bytes.Intercept < 100 || bytes.Intercept > 600 {
		t.Fatalf("%+v, %v", bytes, err)
	}
}
