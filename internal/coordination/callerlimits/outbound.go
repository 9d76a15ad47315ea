package callerlimits

const (
	// workersDescriptors of descriptorParts is the part of the descriptors for connections to workers, with the idle ones. It
	// equals that of callers: each request in flight has one connection to a worker.
	workersDescriptors = 1
	// peersDivisor is the part of the descriptors for connections between instances, half of it for each direction: with 2,870
	// descriptors, 239 connections in each.
	peersDivisor = 6
	// reservedDivisor is the part of the descriptors that one listener other than that of callers takes at most.
	reservedDivisor = 16
	// workerDivisor and peerDivisor are the largest parts of a count that one worker, or one instance, may hold. An instance has one
	// connection to each other one, or two while one is replaced.
	workerDivisor, peerDivisor = 2, 8
	// reserveDivisor is the last part of the count of workers, which is left to workers with few connections, and fewDivisor that of
	// the count which is few.
	reserveDivisor, fewDivisor = 4, 64
	// minPerHost is the least number of connections to one host that is allowed: one that is replaced and its replacement.
	minPerHost = 2
)

// OutboundLimits bound the connections of one kind, which are those to workers or those to other instances.
type OutboundLimits struct {
	// Total is the number of open connections, idle ones included, and PerHost that of those to one host.
	Total, PerHost int
	// Reserved is the part of Total that is left to hosts with fewer than Few connections, so that a few slow hosts do not take all.
	Reserved, Few int
}

// WorkerLimits returns the limits on connections to workers for a total number.
func WorkerLimits(total int) OutboundLimits {
	return OutboundLimits{
		Total: total, PerHost: max(minPerHost, total/workerDivisor), Reserved: total / reserveDivisor, Few: max(1, total/fewDivisor),
	}
}

// PeerLimits returns the limits on connections that are opened to other instances. Each instance has few, so that none are reserved.
func PeerLimits(total int) OutboundLimits {
	return OutboundLimits{Total: total, PerHost: max(minPerHost, total/peerDivisor)}
}

// Room is whether a connection may be opened, and if not, why.
type Room int

// The values of Room.
const (
	// HasRoom: it may be opened.
	HasRoom Room = iota
	// HostFull: the host has as many connections as it may have.
	HostFull
	// AllFull: too many connections are open. Closing an idle one helps.
	AllFull
)

// Outbound counts the open connections of one kind by host. The load patterns that it handles are callers with more requests in flight
// than there are descriptors, and hosts that are slow, so that connections to them pile up. Its caller locks it.
type Outbound struct {
	limits OutboundLimits
	open   map[string]int
	total  int
}

// NewOutbound returns a count without connections.
func NewOutbound(l OutboundLimits) *Outbound { return &Outbound{limits: l, open: map[string]int{}} }

// Open counts another connection to a host if there is room for it.
func (o *Outbound) Open(host string) Room {
	have, l := o.open[host], o.limits
	switch {
	case have >= l.PerHost:
		return HostFull
	case o.total >= l.Total, o.total >= l.Total-l.Reserved && have >= l.Few:
		return AllFull
	}
	o.Force(host)
	return HasRoom
}

// Force counts another connection to a host whether or not there is room for it.
func (o *Outbound) Force(host string) {
	o.open[host]++
	o.total++
}

// Close removes a connection to a host that Open or Force has counted.
func (o *Outbound) Close(host string) {
	o.total--
	if o.open[host]--; o.open[host] == 0 {
		delete(o.open, host)
	}
}

// Total returns the number of open connections.
func (o *Outbound) Total() int { return o.total }

// Shares returns the largest numbers of descriptors that connections of callers, to workers and between instances may take together, and
// how many of the given number must be left to the program's own files, the log service and the other listeners.
func (l Limits) Shares(descriptors int) (taken, left int) {
	return l.Connections + l.Workers.Total + l.Peers.Total + l.PeersAccepted, descriptors / peersDivisor
}

const (
	// MinShare is the least number of descriptors of a share: with fewer, a few slow requests or instances take all of it.
	MinShare = 8
	// maxDescriptors is more than a process has.
	maxDescriptors = 1 << 20
)

// each returns the shares of a number of descriptors: connections of callers, to workers, to instances and from them, and the rest.
func (l Limits) each(descriptors int) [5]int {
	_, left := l.Shares(descriptors)
	return [...]int{l.Connections, l.Workers.Total, l.Peers.Total, l.PeersAccepted, left}
}

// SharesTooSmall reports whether a share of a number of descriptors is below MinShare and would be larger with more descriptors, and
// the smallest number with which none is. There, all shares together do not exceed the number, and the given number of connections of
// callers is allowed, as far as memory and other settings permit. Limits returns the limits for a number of descriptors.
func SharesTooSmall(descriptors, connections int, limits func(descriptors int) Limits) (smallest int, tooSmall bool) {
	most := limits(maxDescriptors).each(maxDescriptors)
	large := func(n int) bool {
		for i, share := range limits(n).each(n) {
			if share < min(MinShare, most[i]) {
				return false
			}
		}
		return true
	}
	if large(descriptors) {
		return 0, false
	}
	for n := 1; n < maxDescriptors; n++ {
		l := limits(n)
		taken, left := l.Shares(n)
		if large(n) && taken+left <= n && l.Connections >= min(connections, most[0]) {
			return n, true
		}
	}
	return maxDescriptors, true
}

// WithWorkers returns the limits with another number of connections to workers.
func (l Limits) WithWorkers(n int) Limits {
	l.Workers, l.IdleWorkers = WorkerLimits(n), min(l.IdleWorkers, n)
	return l
}

// WithPeers returns the limits with another number of connections between instances, in both directions together.
func (l Limits) WithPeers(n int) Limits {
	half := max(1, n/2)
	l.Peers, l.PeersAccepted = PeerLimits(half), half
	return l
}
