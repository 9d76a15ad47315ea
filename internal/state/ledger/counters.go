package ledger

import "sort"

// window is the largest range of numbers of unacknowledged transfers to one peer. It bounds what the receiver stores in
// order to credit each number once: a bitmap of 64 bits.
const window = 64

// Transfer moves parts and their tokens from one incarnation to another. Numbers start at 1 for each such pair.
type Transfer struct {
	From, To    string
	Number      uint64
	Workspace   string
	Parts       int64
	Microtokens int64
}

// Counters counts the parts that one incarnation has sent and received. It is not safe for concurrent use.
type Counters struct {
	self  string
	peers map[string]*peer
	flow  map[string]int64 // received minus sent per workspace, over all members that are not settled
}

type peer struct {
	net          NetParts // sent minus received
	frozen       bool
	lastSent     uint64              // number of the last transfer sent
	pending      map[uint64]Transfer // sent and not acknowledged
	creditedUpTo uint64              // every number up to this one was credited
	credited     uint64              // bit i is set if the number creditedUpTo+1+i was credited
}

// NewCounters returns empty counters for the incarnation self.
func NewCounters(self string) *Counters {
	return &Counters{self: self, peers: map[string]*peer{}, flow: map[string]int64{}}
}

func (c *Counters) peer(incarnation string) *peer {
	p := c.peers[incarnation]
	if p == nil {
		p = &peer{net: NetParts{}, pending: map[uint64]Transfer{}}
		c.peers[incarnation] = p
	}
	return p
}

// CanSend reports whether another transfer may be sent to the incarnation.
func (c *Counters) CanSend(to string) bool {
	p := c.peers[to]
	return p == nil || (!p.frozen && (len(p.pending) == 0 || p.lastSent+1 < p.oldest()+window))
}

// oldest returns the lowest number that is not acknowledged.
func (p *peer) oldest() uint64 {
	lowest := p.lastSent + 1
	for n := range p.pending {
		lowest = min(lowest, n)
	}
	return lowest
}

// Send numbers and counts a transfer. The caller must have checked CanSend and deducted the parts, and repeats the
// transfer until it calls Acknowledge.
func (c *Counters) Send(to, workspace string, parts, microtokens int64) Transfer {
	p := c.peer(to)
	p.lastSent++
	t := Transfer{From: c.self, To: to, Number: p.lastSent, Workspace: workspace, Parts: parts, Microtokens: microtokens}
	p.pending[t.Number] = t
	p.net[workspace] += parts
	c.flow[workspace] -= parts
	return t
}

// Acknowledge removes a transfer from those to repeat.
func (c *Counters) Acknowledge(to string, number uint64) {
	if p := c.peers[to]; p != nil {
		delete(p.pending, number)
	}
}

// Pending returns the transfers to repeat, in the order of their numbers.
func (c *Counters) Pending(to string) []Transfer {
	p := c.peers[to]
	if p == nil || p.frozen || len(p.pending) == 0 {
		return nil
	}
	out := make([]Transfer, 0, len(p.pending))
	for _, t := range p.pending {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}

// Receive counts a received transfer. If credit is true, the caller must add the parts and tokens, which happens once
// per number. If accepted is true, the sender may stop repeating the transfer; it is false for a transfer that is
// malformed, outside the window, for another incarnation or from a frozen one.
func (c *Counters) Receive(t Transfer) (credit, accepted bool) {
	if t.To != c.self || t.From == c.self || t.Number == 0 || t.Parts <= 0 || t.Parts > TotalParts || t.Microtokens < 0 {
		return false, false
	}
	p := c.peer(t.From)
	if p.frozen {
		return false, false
	}
	if t.Number <= p.creditedUpTo {
		return false, true
	}
	bit := t.Number - p.creditedUpTo - 1
	if bit >= window {
		return false, false
	}
	if p.credited&(1<<bit) != 0 {
		return false, true
	}
	p.credited |= 1 << bit
	for p.credited&1 != 0 {
		p.credited >>= 1
		p.creditedUpTo++
	}
	p.net[t.Workspace] -= t.Parts
	c.flow[t.Workspace] += t.Parts
	return true, true
}

// Freeze stops all transfers to and from an ended incarnation, so that its counters no longer change.
func (c *Counters) Freeze(incarnation string) {
	p := c.peer(incarnation)
	p.frozen, p.pending = true, nil
}

// Frozen returns the sum of the counters of the ended members, without zeros. It may only be reported after Freeze of
// each of them and after the promises to them have expired.
func (c *Counters) Frozen(ended []string) NetParts {
	sum := NetParts{}
	for _, i := range ended {
		if p := c.peers[i]; p != nil {
			for ws, parts := range p.net {
				sum[ws] += parts
			}
		}
	}
	for ws, parts := range sum {
		if parts == 0 {
			delete(sum, ws)
		}
	}
	return sum
}

// Settle drops the counters of settled members after the fold has moved net, this member's report, into its base
// account. It reports whether net equals the counters. If not, the regrant used a wrong report and the instance must
// stop spending.
func (c *Counters) Settle(settled []string, net NetParts) bool {
	own := c.Frozen(settled)
	same := true
	for ws, parts := range own {
		same = same && net[ws] == parts
		c.flow[ws] += parts
	}
	for ws, parts := range net {
		same = same && own[ws] == parts
	}
	for _, i := range settled {
		delete(c.peers, i)
	}
	return same
}

// Flow returns the parts received minus those sent, over the members that are not settled. This incarnation holds
// the sum of its base account and Flow.
func (c *Counters) Flow(workspace string) int64 { return c.flow[workspace] }
