package ledger

import "sort"

// window is how many transfers to one peer may be unacknowledged. It bounds what the receiver must
// remember to credit each number once: a bitmap of 64.
const window = 64

// Transfer moves parts and their tokens between two incarnations. Numbers start at 1 per pair.
type Transfer struct {
	From, To    string
	Number      uint64
	Workspace   string
	Parts       int64
	Microtokens int64
}

// Counters is one incarnation's record of its transfers. It is not safe for concurrent use.
type Counters struct {
	self  string
	peers map[string]*peer
	held  map[string]int64 // received minus sent over all peers, settled ones included
}

type peer struct {
	net     NetParts // sent minus received
	frozen  bool
	last    uint64              // last number sent
	pending map[uint64]Transfer // sent, not acknowledged
	low     uint64              // every number up to low was credited
	seen    uint64              // bit i: low+1+i was credited
}

// NewCounters returns empty counters of the incarnation.
func NewCounters(self string) *Counters {
	return &Counters{self: self, peers: map[string]*peer{}, held: map[string]int64{}}
}

func (c *Counters) peer(incarnation string) *peer {
	p := c.peers[incarnation]
	if p == nil {
		p = &peer{net: NetParts{}, pending: map[uint64]Transfer{}}
		c.peers[incarnation] = p
	}
	return p
}

// CanSend reports whether another transfer to the peer may be started.
func (c *Counters) CanSend(to string) bool {
	p := c.peers[to]
	return p == nil || (!p.frozen && (len(p.pending) == 0 || p.last+1 < p.oldest()+window))
}

func (p *peer) oldest() uint64 {
	low := p.last + 1
	for n := range p.pending {
		low = min(low, n)
	}
	return low
}

// Send numbers and counts a transfer. The caller has deducted the parts and sends the transfer until
// Acknowledged. It must hold CanSend.
func (c *Counters) Send(to, workspace string, parts, microtokens int64) Transfer {
	p := c.peer(to)
	p.last++
	t := Transfer{From: c.self, To: to, Number: p.last, Workspace: workspace, Parts: parts, Microtokens: microtokens}
	p.pending[t.Number] = t
	p.net[workspace] += parts
	c.held[workspace] -= parts
	return t
}

// Acknowledge stops the repetition of a transfer.
func (c *Counters) Acknowledge(to string, number uint64) {
	if p := c.peers[to]; p != nil {
		delete(p.pending, number)
	}
}

// Pending returns the transfers to send again, in order.
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

// Receive counts a transfer. Credit says that the caller adds its parts and tokens, which happens once per
// number. Accepted says that the sender may stop repeating it; it is false when the transfer
// is for another incarnation, from a frozen one or malformed.
func (c *Counters) Receive(t Transfer) (credit, accepted bool) {
	if t.To != c.self || t.From == c.self || t.Number == 0 || t.Parts <= 0 || t.Parts > TotalParts || t.Microtokens < 0 {
		return false, false
	}
	p := c.peer(t.From)
	if p.frozen {
		return false, false
	}
	if t.Number <= p.low {
		return false, true
	}
	bit := t.Number - p.low - 1
	if bit >= window {
		return false, false
	}
	if p.seen&(1<<bit) != 0 {
		return false, true
	}
	p.seen |= 1 << bit
	for p.seen&1 != 0 {
		p.seen >>= 1
		p.low++
	}
	p.net[t.Workspace] -= t.Parts
	c.held[t.Workspace] += t.Parts
	return true, true
}

// Freeze ends all exchange with an ended incarnation. Its counters stay as they are.
func (c *Counters) Freeze(incarnation string) {
	p := c.peer(incarnation)
	p.frozen, p.pending = true, nil
}

// Frozen returns the summed counters with the ended members, without zeros. It must only be reported after
// Freeze of each of them and after the promises to them have lapsed.
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

// Settle forgets the counters with settled members after the fold has moved net, this member's report, into
// its base account. It reports whether net is what the counters say; a difference means that the
// regrant used a wrong report and the instance must stop spending.
func (c *Counters) Settle(settled []string, net NetParts) bool {
	own := c.Frozen(settled)
	same := true
	for ws, parts := range own {
		same = same && net[ws] == parts
		c.held[ws] += parts
	}
	for ws, parts := range net {
		same = same && own[ws] == parts
	}
	for _, i := range settled {
		delete(c.peers, i)
	}
	return same
}

// Flow returns received minus sent over the members not settled. Base plus Flow is what this incarnation
// holds.
func (c *Counters) Flow(workspace string) int64 { return c.held[workspace] }
