// Package callerlimits decides which callers' connections are served while memory or descriptors are short. It keeps one
// account of the bytes that an instance holds for its callers' connections. The load pattern that it handles is a group of
// callers that hold memory or connections and make no progress.
package callerlimits

import (
	"slices"
	"time"
)

// Class is what bytes are held for. Each class has a share of its own, so that bodies take no room from heads.
type Class int

// The classes. Heads includes the buffers and goroutines of connections.
const (
	Heads Class = iota
	Bodies
	classes
)

const (
	// ConnectionBytes is what an open connection holds before it has sent a long head: two buffers of 4 KiB, the stacks of up
	// to two goroutines, and a short head in its parsed form.
	ConnectionBytes = 24 << 10
	// tlsBytes is what a connection with TLS holds in addition: the buffer of a record, and the state of the session. Measured after one
	// request with a body of 60 KB: 43.5 KB for each idle connection, and 18.5 KB without TLS.
	tlsBytes = 24 << 10
	// headCopies is how often the bytes of a long head are held: as received, and as the strings of its fields.
	headCopies = 2
	// freeHeadBytes is the part of a head that ConnectionBytes includes.
	freeHeadBytes = 4 << 10
	// headDivisor, bodyDivisor and responseDivisor are the parts of the memory for heads with connections, for bodies, and for
	// responses until they are complete. The rest is for the program, and for bytes that the collector has not freed yet.
	headDivisor, bodyDivisor, responseDivisor = 8, 4, 8
	// connectionShare of connectionParts is the part of the memory for heads with connections that connections take before
	// they have sent a long head. The rest is always left to long heads.
	connectionShare, connectionParts = 3, 4
	// callersDescriptors of descriptorParts is the part of the descriptors for connections of callers. Connections to workers and
	// between instances have parts of their own; the rest, a sixth, is for the log service, files and the other listeners.
	callersDescriptors, descriptorParts = 1, 3
	// idleDivisor is the part of the descriptors for idle connections to workers, which are within the part for workers.
	idleDivisor = 10
	// ownerShare of ownerParts is the largest part of the memory for bodies that one address, or one key, may hold.
	ownerShare, ownerParts = 3, 4
)

// Defaults of Limits.
const (
	// DefaultFields is the number of header fields of a request. Programs send a few dozen; very many short ones take many times
	// their size in parsed form.
	DefaultFields = 256
	// DefaultMinRate is far below what the slowest links carry, in bytes per second.
	DefaultMinRate = 128
	// DefaultReadWindow is more than the idle time of up to 12 s after which callers go on.
	DefaultReadWindow = 15 * time.Second
	// DefaultWriteWindow is longer, since a receiver reports what it has read in steps of up to 64 KiB.
	DefaultWriteWindow = 30 * time.Second
	// defaultInterval is long enough for callers that send slowly at times. reservedInterval is that of other listeners, whose
	// clients send a short request at once.
	defaultInterval, reservedInterval = 3 * time.Second, 250 * time.Millisecond
	// maxCheckGap is the time between two calls of Overdue, which is called each second, from which on the process itself was stopped:
	// what arrived in the meantime was not read, so that the measurements begin anew.
	maxCheckGap = 5 * time.Second
	// reservedConnections is the number of connections of a listener that is not for callers.
	reservedConnections = 32
)

// Limits are the bounds on callers' connections.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// ConnectionBytes is what an open connection holds before it has sent a long head.
	ConnectionBytes int64
	// Bytes are the bytes that may be held, by class.
	Bytes [classes]int64
	// OwnerBytes are those of bodies that one address, or one key, may hold.
	OwnerBytes int64
	// ResponseBytes are those of responses until they are complete, which have an account of their own.
	ResponseBytes int64
	// Unread bounds the part of them that is held for callers that are behind.
	Unread Unread
	// IdleWorkers is the number of idle connections to workers that are kept.
	IdleWorkers int
	// Workers bound the connections to workers, and Peers those that are opened to other instances.
	Workers, Peers OutboundLimits
	// PeersAccepted is the number of connections that are accepted from other instances.
	PeersAccepted int
	// Reserve is the number of connections of each listener that is not for callers.
	Reserve int
	// Fields is the number of header fields of one request.
	Fields int
	// MinRate is in bytes per second. A connection on which less is transferred throughout a window is closed, if the caller
	// has to send or to read.
	MinRate int64
	// Interval is the time over which a rate is measured, and after which a connection without progress, or without a request,
	// may be closed if memory or connections are short.
	Interval                time.Duration
	ReadWindow, WriteWindow time.Duration
}

// Derive returns the limits that follow from a machine's memory in bytes and from its number of descriptors.
func Derive(memory int64, descriptors int) Limits {
	heads, unread := memory/headDivisor, memory/responseDivisor/unreadDivisor
	l := Limits{
		Connections:   max(1, descriptors*callersDescriptors/descriptorParts),
		Bytes:         [classes]int64{Heads: heads, Bodies: memory / bodyDivisor},
		OwnerBytes:    memory / bodyDivisor / ownerParts * ownerShare,
		ResponseBytes: memory / responseDivisor,
		Unread:        Unread{Each: min(DefaultUnreadBytes, unread), Shared: unread},
		IdleWorkers:   max(1, descriptors/idleDivisor),
		Reserve:       max(1, descriptors/reservedDivisor),
		Fields:        DefaultFields,
		MinRate:       DefaultMinRate, Interval: defaultInterval, ReadWindow: DefaultReadWindow, WriteWindow: DefaultWriteWindow,
	}
	l = l.withConnectionBytes(ConnectionBytes)
	return l.WithWorkers(max(1, descriptors*workersDescriptors/descriptorParts)).WithPeers(max(2, descriptors/peersDivisor))
}

// withConnectionBytes returns the limits for connections that hold so many bytes, of which fewer may be open if need be.
func (l Limits) withConnectionBytes(n int64) Limits {
	l.ConnectionBytes = n
	l.Connections = max(1, min(l.Connections, int(l.Bytes[Heads]/connectionParts*connectionShare/n)))
	return l
}

// WithTLS returns the limits of a listener whose connections carry TLS.
func (l Limits) WithTLS() Limits { return l.withConnectionBytes(ConnectionBytes + tlsBytes) }

// Reserved returns the limits of a listener that is not for callers, such as that of readiness checks. They do not depend on what
// callers hold.
func (l Limits) Reserved() Limits {
	l.Connections, l.Interval = min(l.Connections, reservedConnections, l.Reserve), reservedInterval
	l.Bytes = [classes]int64{Heads: reservedConnections * 2 * ConnectionBytes}
	return l
}

// Phase is what a connection's exchange has come to.
type Phase int

// The phases.
const (
	// Idle: no byte of the next request has arrived.
	Idle Phase = iota
	// Receiving: the head or the body is being read, or the rest of a request whose response is complete.
	Receiving
	// Serving: the request is complete, and its response is not.
	Serving
)

// Conn is the account of one connection. It belongs to one Account and is guarded as that is.
type Conn struct {
	address, key string
	phase        Phase
	writing      bool
	closed       bool
	held         [classes]int64
	head         int64
	// since is the beginning of the current measurement, or of the idle time, and moved the bytes since then.
	since time.Duration
	moved int64
	// slow is set if the rate of the last measurement was too low, and slowSince is the beginning of the first such one.
	slow      bool
	slowSince time.Duration
}

// Account is the account of all connections. Its caller locks it.
type Account struct {
	limits Limits
	used   [classes]int64
	conns  map[*Conn]struct{}
	owners map[owner]int64
	// checked is the time of the last call of Overdue, 0 before it.
	checked time.Duration
}

// owner is a part that bytes of bodies are charged to.
type owner struct{ address, key string }

// New returns an account without connections.
func New(l Limits) *Account {
	return &Account{limits: l, conns: map[*Conn]struct{}{}, owners: map[owner]int64{}}
}

// Used returns the bytes held by a class, and Connections the number of open connections.
func (a *Account) Used(c Class) int64 { return a.used[c] }

// Connections returns the number of open connections.
func (a *Account) Connections() int { return len(a.conns) }

// Room reports whether there is room for another connection. If not, it closes one and returns it, nil if there is none that may
// be closed.
func (a *Account) Room(now time.Duration) (victim *Conn, ok bool) {
	if len(a.conns) < a.limits.Connections && a.used[Heads]+a.limits.ConnectionBytes <= a.limits.Bytes[Heads] {
		return nil, true
	}
	if victim = a.victim(now, true, (*Conn).total); victim != nil {
		a.Close(victim)
	}
	return victim, false
}

// Open adds a connection, for which there was room.
func (a *Account) Open(now time.Duration, address string) *Conn {
	c := &Conn{address: address, since: now}
	a.conns[c] = struct{}{}
	a.add(c, Heads, a.limits.ConnectionBytes)
	return c
}

// Close removes a connection and all that it holds.
func (a *Account) Close(c *Conn) {
	if c.closed {
		return
	}
	a.Release(c)
	a.add(c, Heads, -a.limits.ConnectionBytes)
	c.closed = true
	delete(a.conns, c)
}

// Reopen adds a connection again that was closed while it was idle and on which a request arrived nevertheless. It may exceed the
// limits: that request must not be lost.
func (a *Account) Reopen(now time.Duration, c *Conn) {
	if !c.closed {
		return
	}
	c.closed, c.since = false, now
	a.conns[c] = struct{}{}
	a.add(c, Heads, a.limits.ConnectionBytes)
}

// Release ends what a connection holds for a request.
func (a *Account) Release(c *Conn) {
	if c.closed {
		return
	}
	a.add(c, Heads, a.limits.ConnectionBytes-c.held[Heads])
	a.add(c, Bodies, -c.held[Bodies])
	c.head, c.key = 0, ""
}

// SetKey names the key of the connection's request before its body is read.
func (a *Account) SetKey(c *Conn, key string) {
	if c.held[Bodies] == 0 {
		c.key = key
	}
}

// Head counts further bytes of a head. It returns false if the connection has to be closed.
func (a *Account) Head(now time.Duration, c *Conn, n int64) (closeFirst []*Conn, ok bool) {
	more := max(0, c.head+n-freeHeadBytes) - max(0, c.head-freeHeadBytes)
	c.head += n
	if more == 0 {
		return nil, !c.closed
	}
	return a.Reserve(now, c, Heads, more*headCopies)
}

// Reserve counts n more bytes that a connection holds, or less if n is negative. It returns the connections to close, whose
// bytes are free already, and false if the bytes are refused nevertheless.
func (a *Account) Reserve(now time.Duration, c *Conn, class Class, n int64) (closeFirst []*Conn, ok bool) {
	for !c.closed {
		full, over := a.full(c, class, n)
		if n <= 0 || !full {
			a.add(c, class, n)
			return closeFirst, true
		}
		v := a.victim(now, false, func(v *Conn) int64 {
			if v == c || over != (owner{}) && !slices.Contains(v.owners(), over) {
				return 0
			}
			return v.held[class]
		})
		if v == nil {
			break
		}
		a.Close(v)
		closeFirst = append(closeFirst, v)
	}
	return closeFirst, false
}

// full reports whether n more bytes have no room, and names the owner whose share they exceed if that is the reason.
func (a *Account) full(c *Conn, class Class, n int64) (full bool, over owner) {
	for _, o := range c.owners() {
		if class == Bodies && a.owners[o]+n > a.limits.OwnerBytes {
			return true, o
		}
	}
	return a.used[class]+n > a.limits.Bytes[class], owner{}
}

func (c *Conn) owners() []owner {
	if c.key == "" {
		return []owner{{address: c.address}}
	}
	return []owner{{address: c.address}, {key: c.key}}
}

func (a *Account) add(c *Conn, class Class, n int64) {
	a.used[class] += n
	c.held[class] += n
	if class != Bodies || n == 0 {
		return
	}
	for _, o := range c.owners() {
		if a.owners[o] += n; a.owners[o] == 0 {
			delete(a.owners, o)
		}
	}
}

// SetPhase records what the exchange on a connection has come to.
func (a *Account) SetPhase(now time.Duration, c *Conn, p Phase) {
	if p != c.phase {
		c.phase = p
		c.measure(now)
	}
}

// SetWriting records that a write to the caller begins or ends.
func (a *Account) SetWriting(now time.Duration, c *Conn, writing bool) {
	c.writing = writing
	// The time before a write does not count: the caller had nothing to read while its request waited for a worker.
	if c.phase != Receiving {
		c.measure(now)
	}
}

// measure begins a new measurement.
func (c *Conn) measure(now time.Duration) { c.since, c.moved, c.slow = now, 0, false }

// Moved counts bytes that were transferred on a connection.
func (a *Account) Moved(now time.Duration, c *Conn, n int) {
	c.moved += int64(n)
	a.observe(now, c)
}

// observe ends the measurement of the rate if its time has passed.
func (a *Account) observe(now time.Duration, c *Conn) {
	if a.checked > 0 && now-a.checked > maxCheckGap {
		c.measure(now)
		return
	}
	elapsed := now - c.since
	if elapsed < a.limits.Interval || !c.expected() {
		return
	}
	tooLow := float64(c.moved) < float64(a.limits.MinRate)*elapsed.Seconds()
	if tooLow && !c.slow {
		c.slowSince = c.since
	}
	c.slow, c.since, c.moved = tooLow, now, 0
}

// expected reports whether the caller has to send or to read.
func (c *Conn) expected() bool { return c.phase == Receiving || c.writing }

// Overdue removes and returns the connections whose rate was too low throughout a window.
func (a *Account) Overdue(now time.Duration) []*Conn {
	var out []*Conn
	for c := range a.conns {
		a.observe(now, c)
		window := a.limits.ReadWindow
		if c.writing {
			window = a.limits.WriteWindow
		}
		if c.slow && c.expected() && now-c.slowSince >= window {
			out = append(out, c)
		}
	}
	a.checked = now
	for _, c := range out {
		a.Close(c)
	}
	return out
}

// victim returns the connection to close first: of those without progress the one that has held the most for the longest,
// otherwise, if idle ones help, the one that was idle for the longest. It returns nil if there is none. Frees returns the bytes
// that closing a connection frees, 0 if that does not help.
func (a *Account) victim(now time.Duration, idle bool, frees func(c *Conn) int64) *Conn {
	var best *Conn
	var bestCost float64
	for c := range a.conns {
		a.observe(now, c)
		var cost float64
		switch {
		case c.slow && c.expected():
			cost = float64(frees(c)) * (now - c.slowSince).Seconds()
		case idle && c.phase == Idle && !c.writing && now-c.since >= a.limits.Interval:
			// An idle connection ranks below all that hold a request: those cost at least ConnectionBytes times the interval.
			cost = (now - c.since).Seconds()
		}
		if cost > bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// total returns all bytes that a connection holds.
func (c *Conn) total() int64 { return c.held[Heads] + c.held[Bodies] }

// IsIdle reports whether no byte of a request has arrived on the connection since its last one.
func (c *Conn) IsIdle() bool { return c.phase == Idle }

// IsWriting reports whether a write to the caller is in progress.
func (c *Conn) IsWriting() bool { return c.writing }
