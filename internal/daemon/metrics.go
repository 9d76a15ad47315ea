package daemon

import "github.com/prometheus/client_golang/prometheus"

// collector reads the instance's state when the metrics are scraped.
type collector struct {
	daemon *Daemon

	lease    *prometheus.Desc
	members  *prometheus.Desc
	parts    *prometheus.Desc
	free     *prometheus.Desc
	version  *prometheus.Desc
	inFlight *prometheus.Desc
	actions  *prometheus.Desc
}

func newCollector(d *Daemon) *collector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, labels, nil)
	}
	return &collector{
		daemon:   d,
		lease:    desc("turmeric_lease_valid", "1 while the instance may act, 0 while its freshness lease has expired."),
		members:  desc("turmeric_members", "Registered members of the fleet, this instance included."),
		parts:    desc("turmeric_share_parts", "Millionths of the workspace's rate that this instance holds.", "workspace"),
		free:     desc("turmeric_share_free_tokens", "Tokens that this instance could spend now.", "workspace"),
		version:  desc("turmeric_config_version", "Version of the configuration in force."),
		inFlight: desc("turmeric_requests_in_flight", "Requests of callers being served."),
		actions:  desc("turmeric_actions_in_progress", "Calls that may not be repeated whose outcome is not recorded yet."),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.lease, c.members, c.parts, c.free, c.version, c.inFlight, c.actions} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	s := c.daemon.control.sample()
	gauge(c.lease, s.lease)
	gauge(c.members, float64(s.members))
	for _, w := range s.workspaces {
		gauge(c.parts, w.parts, w.name)
		gauge(c.free, w.free, w.name)
	}
	gauge(c.version, float64(c.daemon.replica.view().Version()))
	gauge(c.inFlight, float64(c.daemon.entry.InFlight()))
	gauge(c.actions, float64(c.daemon.actions.inProgress()))
}

// controlSample is the part of the control state that the metrics show.
type controlSample struct {
	lease      float64
	members    int
	workspaces []workspaceSample
}

type workspaceSample struct {
	name        string
	parts, free float64
}

// sample reads the control state for the metrics.
func (c *control) sample() controlSample {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	s := controlSample{members: len(c.members.ActiveMembers())}
	if c.lease.Valid(now) {
		s.lease = 1
	}
	for _, r := range c.shares.Reports(now) {
		s.workspaces = append(s.workspaces, workspaceSample{
			name: r.Workspace, parts: float64(r.Parts), free: float64(r.Free) / float64(microtokens(1)),
		})
	}
	return s
}
