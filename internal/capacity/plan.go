package capacity

import (
	"fmt"
	"math"
	"time"
)

// Deployment is the size to which costs are extrapolated.
type Deployment struct {
	Nodes, Engines, Adapters, Workspaces int
	ChangesPerDay, RequestsPerSecond     float64
	FailuresPerDay, RestartsPerDay       float64
}

// TwoYearTarget is the size that the system must support in two years.
var TwoYearTarget = Deployment{
	Nodes: 860, Engines: 4900, Adapters: 93_000, Workspaces: 5, ChangesPerDay: 9700, RequestsPerSecond: 37_000,
	FailuresPerDay: 33, RestartsPerDay: 490,
}

// The budget of the control plane on one node.
const (
	// BudgetCPU is in microseconds of CPU time per second: 1% of a core.
	BudgetCPU = 10_000
	// BudgetMemory is in bytes.
	BudgetMemory = 64 << 20
	// BudgetTraffic is in bytes per second, sent and received together.
	BudgetTraffic = 12_000
)

const secondsPerDay = 24 * 60 * 60

const (
	unitTraffic = "B/s per node"
	unitCPU     = "us/s per node"
	unitMemory  = "B per node"
	// heartbeatsAllChanged names the cost of heartbeats if every report changed. Sums contain the cost without changes
	// instead.
	heartbeatsAllChanged = "heartbeats, every report changed"
)

// Intervals, rates and limits of the running system from which the costs follow.
const (
	heartbeatsPerSecond = 2 // membership.HeartbeatInterval, 500 ms
	listsPerSecond      = 1 // the daemon's listInterval
	pollsPerSecond      = 2 // the fleet registry's pollInterval
	logStreams          = 3
	// logAppendsPerSecond is the number of appends that the log service accepts per second.
	logAppendsPerSecond = 300
	// requestSeconds is how long a request is open at an instance: the time to the first token, then 240 tokens
	// of 44 ms.
	requestSeconds = 11
	// eventCapacity is the number of events in the daemon's ring, its constant of the same name.
	eventCapacity = 16_384
	// maxRecordBytes is the size of the largest record that the stand-in log service accepts.
	maxRecordBytes = 4 << 20
)

// Cost is one cost of a node or of the log service at the size of a deployment.
type Cost struct {
	Role     string `json:"role"`
	Name     string `json:"name"`
	Resource string `json:"resource"`
	// Value and Budget are in the resource's unit. A Budget of zero means that there is none.
	Value  float64 `json:"value"`
	Budget float64 `json:"budget"`
	// Over reports whether this cost alone exceeds the budget.
	Over bool `json:"over"`
	// Limit is the size at which this cost alone reaches the budget, such as "10 nodes". It is empty if the cost
	// does not grow with a size of the deployment.
	Limit string `json:"limit,omitempty"`
}

// Result is the outcome of a run: all series and the costs extrapolated from them.
type Result struct {
	Series []Series `json:"series"`
	Costs  []Cost   `json:"items"`
}

type planner struct {
	series map[string]Series
	costs  []Cost
}

// add appends a cost that grows by perUnit for each item that counted names.
func (p *planner) add(role, name, resource string, value, budget, perUnit float64, counted string) {
	c := Cost{Role: role, Name: name, Resource: resource, Value: value, Budget: budget, Over: budget > 0 && value > budget}
	if perUnit > 0 && counted != "" {
		// The cost is taken as proportional to the number of items; this is the number that reaches the budget.
		c.Limit = fmt.Sprintf("%.0f %s", math.Floor(budget/perUnit), counted)
	}
	p.costs = append(p.costs, c)
}

// Plan extrapolates the series to the deployment.
func Plan(series []Series, d Deployment) []Cost {
	p := &planner{series: map[string]Series{}}
	for _, s := range series {
		p.series[s.Name] = s
	}
	p.traffic(d)
	p.cpu(d)
	p.memory(d)
	p.log(d)
	for _, resource := range []string{unitTraffic, unitCPU, unitMemory} {
		p.total(resource)
	}
	return p.costs
}

// total adds up the costs of a node in one resource, with heartbeats in which no report changed.
func (p *planner) total(resource string) {
	sum, budget := 0.0, 0.0
	for _, c := range p.costs {
		if c.Resource == resource && c.Name != heartbeatsAllChanged {
			sum, budget = sum+c.Value, c.Budget
		}
	}
	p.add("all", "sum, no report changed", resource, sum, budget, 0, "")
}

func (p *planner) traffic(d Deployment) {
	const unit = unitTraffic
	peers, nodes, ws := float64(d.Nodes-1), float64(d.Nodes), float64(d.Workspaces)
	heartbeats := p.series["heartbeat-bytes"]
	// An instance sends a heartbeat to each peer and answers one from each.
	allChanged, noneChanged := 2*heartbeatsPerSecond*heartbeats.At(ws), 2*heartbeatsPerSecond*heartbeats.At(0)
	p.add("membership and lease", "heartbeats, no report changed", unit, noneChanged*peers, BudgetTraffic, noneChanged, "nodes")
	p.add("token shares", heartbeatsAllChanged, unit, allChanged*peers, BudgetTraffic, allChanged, "nodes")
	transfer := p.series["transfer-bytes"].At(12)
	p.add("token shares", "transfers, one per workspace and second sent and received", unit, 2*transfer*ws, BudgetTraffic, 2*transfer, "workspaces")
	list := p.series["instance-list-bytes"]
	p.add("membership and lease", "instance list", unit, listsPerSecond*list.At(nodes), BudgetTraffic, listsPerSecond*list.Slope, "nodes")
	idle := p.series["log-idle-bytes-per-stream"].Points[0].Value
	p.add("log service", "long polls of three streams, nothing appended", unit, logStreams*idle, BudgetTraffic, 0, "")
	change := p.series["log-read-bytes"].Slope
	p.add("configuration", "changes read", unit, change*d.ChangesPerDay/secondsPerDay, BudgetTraffic, change/secondsPerDay, "changes a day")
	regrant := p.series["regrant-record-bytes"]
	// The log service's JSON encodes records in base64.
	perDay := regrant.At(nodes) * 4 / 3 * (d.FailuresPerDay + d.RestartsPerDay)
	p.add("token shares", "regrant records read", unit, perDay/secondsPerDay, BudgetTraffic, perDay/secondsPerDay/nodes, "nodes")
	poll := pollsPerSecond * p.series["engine-poll-bytes"].Slope
	p.add("engine ownership and loads", "status of every engine", unit, poll*float64(d.Engines), BudgetTraffic, poll, "engines")
}

func (p *planner) cpu(d Deployment) {
	const unit = unitCPU
	peers, ws := float64(d.Nodes-1), float64(d.Workspaces)
	heartbeat := p.series["heartbeat-cpu"]
	p.add("membership and lease", "heartbeats, no report changed", unit, heartbeatsPerSecond*heartbeat.At(0)*peers, BudgetCPU, heartbeatsPerSecond*heartbeat.At(0), "nodes")
	p.add("token shares", heartbeatsAllChanged, unit, heartbeatsPerSecond*heartbeat.At(ws)*peers, BudgetCPU, heartbeatsPerSecond*heartbeat.At(ws), "nodes")
	loop := p.series["control-loop-cpu"]
	p.add("membership and lease", "control loop without messages", unit, loop.At(float64(d.Nodes)), BudgetCPU, loop.Slope, "nodes")
	change := p.series["config-change-cpu"]
	p.add("configuration", "fold of changes", unit, change.At(float64(d.Adapters))*d.ChangesPerDay/secondsPerDay, BudgetCPU, 0, "")
	requests := d.RequestsPerSecond / float64(d.Nodes)
	p.add("keys", "authentication", unit, p.series["authenticate-cpu"].At(float64(d.Workspaces*100))*requests, BudgetCPU, 0, "")
	poll := pollsPerSecond * p.series["engine-poll-cpu"].Slope
	p.add("engine ownership and loads", "status of every engine, both ends", unit, poll*float64(d.Engines), BudgetCPU, poll, "engines")
}

func (p *planner) memory(d Deployment) {
	const unit = unitMemory
	nodes := float64(d.Nodes)
	connection, fleet := p.series["connection-memory"].Slope, p.series["fleet-memory"]
	p.add("membership and lease", "connections from and to each peer", unit, connection*(nodes-1), BudgetMemory, connection, "nodes")
	p.add("membership and lease", "state of members, peers and shares", unit, fleet.At(nodes), BudgetMemory, fleet.Slope, "nodes")
	adapters := p.series["config-memory"]
	p.add("configuration", "view", unit, adapters.At(float64(d.Adapters)), BudgetMemory, adapters.Slope, "adapters")
	p.add("keys", "100 keys per workspace", unit, p.series["key-memory"].At(float64(100*d.Workspaces)), BudgetMemory, p.series["key-memory"].Slope, "keys")
	open := d.RequestsPerSecond / nodes * requestSeconds
	p.add("entry instance's request path", "queue, every open request waiting", unit, p.series["queue-memory"].At(open), BudgetMemory, p.series["queue-memory"].Slope, "requests")
	p.add("timeline", "event ring", unit, p.series["event-memory"].At(eventCapacity), BudgetMemory, p.series["event-memory"].Slope, "events")
}

func (p *planner) log(d Deployment) {
	nodes := float64(d.Nodes)
	reads := p.series["log-reads-per-stream"]
	p.add("log service", "reads of three streams by all nodes, nothing appended", "reads/s", logStreams*reads.At(nodes), 0, 0, "")
	ends := d.FailuresPerDay + d.RestartsPerDay
	withdrawals := p.series["withdrawals-per-failure"]
	p.add("membership and lease", "withdrawals in one burst after a failure", "appends", withdrawals.At(nodes), logAppendsPerSecond, withdrawals.Slope, "nodes")
	// A restart appends a leave and a join. Each failure or restart is settled by one regrant, and each engine that
	// the node owned is claimed again by one append.
	claims := float64(d.Engines) / nodes
	average := (d.FailuresPerDay*(withdrawals.At(nodes)+1) + d.RestartsPerDay*2 + ends*(1+claims)) / secondsPerDay
	p.add("log service", "appends of membership, grants and claims, average", "appends/s", average, logAppendsPerSecond, 0, "")
	p.add("configuration", "appends of changes, average", "appends/s", d.ChangesPerDay/secondsPerDay, logAppendsPerSecond, 0, "")
	// An instance with non-idempotent calls all the time appends one batch per linger time, which is set so that
	// seven instances use the log service's rate.
	perInstance := float64(logAppendsPerSecond) / 7
	p.add("calls that may not be repeated", "appends when every node has such calls all the time", "appends/s", perInstance*nodes, logAppendsPerSecond, perInstance, "nodes")
	regrant := p.series["regrant-record-bytes"]
	p.add("token shares", "one regrant record", "B", regrant.At(nodes), maxRecordBytes, regrant.Slope, "nodes")
	inForce := p.series["time-in-force"]
	p.add("configuration", "time until a change is in force", "ms", inForce.At(nodes), float64((10 * time.Second).Milliseconds()), inForce.Slope, "nodes")
}
