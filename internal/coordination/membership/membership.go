// Package membership combines the platform's list, the registered members and heartbeats into a view of
// the other instances, and decides whom to heartbeat and whom to withdraw.
package membership

import (
	"sort"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/members"
)

const (
	// HeartbeatInterval is how often each peer is sent a heartbeat.
	HeartbeatInterval = 500 * time.Millisecond
	// SuspectAfter is how long a peer may be silent before no shares are asked of it: three heartbeats.
	SuspectAfter = 1500 * time.Millisecond
	// WithdrawAfter is how long a member must be silent before it can be withdrawn.
	WithdrawAfter = 3 * time.Second
	// reportLife is how long a report of silence counts: two heartbeats and a margin.
	reportLife = 1200 * time.Millisecond
	// retryWithdraw is how long to wait for a withdrawal to appear in the log before it is appended again.
	retryWithdraw = 5 * time.Second
)

// Status is what is known of a peer.
type Status int

// The statuses of a peer.
const (
	// Live peers were heard within SuspectAfter.
	Live Status = iota
	// Suspect peers are silent.
	Suspect
	// Dead peers refused a connection and were not heard since.
	Dead
	// Leaving peers are live but will stop.
	Leaving
)

// ListEntry is one entry of the platform's list.
type ListEntry struct {
	Instance, PeerAddr, DataCentre string
	Leaving                        bool
}

// Peer is the view of another instance.
type Peer struct {
	ListEntry
	// Incarnation is empty until a join or a heartbeat names it.
	Incarnation string
	Status      Status
	// ControlNext is the position in the control stream that the peer last reported.
	ControlNext uint64
}

// peer is an instance: an address that heartbeats go to.
type peer struct {
	listed      ListEntry
	inList      bool
	incarnation string // newest known
	heard       time.Duration
	dead        bool // the incarnation refused a connection
	controlNext uint64
	nextBeat    time.Duration
	reported    []string // members that its last heartbeat named as silent
}

// member is a registered incarnation. An instance that restarts has two until the first is withdrawn.
type member struct {
	instance    string
	heard       time.Duration
	silentTo    map[string]time.Duration // reporter's instance, time of its report
	withdrawing bool
	withdrawnAt time.Duration
}

// Actions is what to do now.
type Actions struct {
	// Heartbeat names the instances to send a heartbeat to.
	Heartbeat []string
	// Withdraw are the records to append.
	Withdraw []members.Withdraw
	// Next is when to call Tick again.
	Next time.Duration
}

// View is one instance's view of its peers. Its size is bounded by the listed instances and
// registered members, and by the reports of silence, at most one per member and reporter. It is not safe for
// concurrent use.
type View struct {
	instance, incarnation string
	peers                 map[string]*peer
	members               map[string]*member
	listKnown             bool
}

// New returns a view without peers of the instance itself.
func New(instance, incarnation string) *View {
	return &View{instance: instance, incarnation: incarnation, peers: map[string]*peer{}, members: map[string]*member{}}
}

func (v *View) peer(now time.Duration, instance string) *peer {
	p := v.peers[instance]
	if p == nil {
		p = &peer{heard: now, nextBeat: now}
		p.listed.Instance = instance
		v.peers[instance] = p
	}
	return p
}

// SetList replaces the platform's list. A failed look-up leaves the last list in force.
func (v *View) SetList(now time.Duration, list []ListEntry) {
	for _, p := range v.peers {
		p.inList = false
	}
	for _, e := range list {
		if e.Instance != v.instance {
			p := v.peer(now, e.Instance)
			p.listed, p.inList = e, true
		}
	}
	v.listKnown = true
	v.prune()
}

// SetMembers replaces the registered members, from the fold. An instance's newest join names its
// incarnation.
func (v *View) SetMembers(now time.Duration, list []members.Member) {
	registered := make(map[string]bool, len(list))
	newest := make(map[string]members.Member, len(list))
	for _, m := range list {
		registered[m.Incarnation] = true
		if v.members[m.Incarnation] == nil {
			v.members[m.Incarnation] = &member{instance: m.Instance, heard: now, silentTo: map[string]time.Duration{}}
		}
		if n, ok := newest[m.Instance]; !ok || n.Joined <= m.Joined {
			newest[m.Instance] = m
		}
	}
	for inc := range v.members {
		if !registered[inc] {
			delete(v.members, inc)
		}
	}
	for instance, m := range newest {
		if instance == v.instance {
			continue
		}
		p := v.peer(now, instance)
		if !p.inList {
			p.listed.PeerAddr, p.listed.DataCentre = m.PeerAddr, m.DataCentre
		}
		if p.incarnation != m.Incarnation {
			p.rename(now, m.Incarnation)
		}
	}
	v.prune()
}

// rename starts over for a new incarnation at the same instance.
func (p *peer) rename(now time.Duration, incarnation string) {
	p.incarnation, p.heard, p.dead, p.controlNext = incarnation, now, false, 0
}

// prune drops instances that neither the list nor the members name.
func (v *View) prune() {
	used := make(map[string]bool, len(v.members))
	for _, m := range v.members {
		used[m.instance] = true
	}
	for id, p := range v.peers {
		if !p.inList && !used[id] {
			v.dropReports(id, p)
			delete(v.peers, id)
		}
	}
}

func (v *View) dropReports(instance string, p *peer) {
	for _, s := range p.reported {
		if m := v.members[s]; m != nil {
			delete(m.silentTo, instance)
		}
	}
	p.reported = nil
}

// RecordHeartbeat records a message from a peer, with its position in the control stream and the incarnations that it
// reports as silent. The caller drops messages of incarnations that the fold knows as ended, so an
// unknown incarnation is one that has not joined yet.
func (v *View) RecordHeartbeat(now time.Duration, instance, incarnation string, controlNext uint64, silent []string) {
	if m := v.members[incarnation]; m != nil {
		m.heard = now
	}
	p := v.peers[instance]
	if p == nil || incarnation == "" {
		return
	}
	if p.incarnation != incarnation {
		if v.members[incarnation] != nil && v.members[p.incarnation] != nil {
			return // a late message of the process before
		}
		p.rename(now, incarnation)
	}
	p.heard, p.dead = now, false
	p.controlNext = max(p.controlNext, controlNext)
	v.dropReports(instance, p)
	if v.members[incarnation] == nil {
		return
	}
	for _, s := range silent {
		if m := v.members[s]; m != nil {
			m.silentTo[instance] = now
			p.reported = append(p.reported, s)
		}
	}
}

// RecordRefusal records that a connection to the peer's address was refused while its incarnation was the given
// one: that process is gone.
func (v *View) RecordRefusal(instance, incarnation string) {
	if p := v.peers[instance]; p != nil && p.incarnation == incarnation {
		p.dead = true
	}
}

// SilentMembers returns the members that are silent to this instance, for its heartbeats.
func (v *View) SilentMembers(now time.Duration) []string {
	var out []string
	for inc, m := range v.members {
		if inc != v.incarnation && now-m.heard >= WithdrawAfter {
			out = append(out, inc)
		}
	}
	sort.Strings(out)
	return out
}

// Tick returns what to do at the time. It does not depend on how often it is called.
func (v *View) Tick(now time.Duration) Actions {
	a := Actions{Next: now + HeartbeatInterval}
	for id, p := range v.peers {
		if now >= p.nextBeat {
			a.Heartbeat = append(a.Heartbeat, id)
			p.nextBeat = max(p.nextBeat+HeartbeatInterval, now+HeartbeatInterval/2)
		}
		a.Next = min(a.Next, p.nextBeat)
	}
	for inc, m := range v.members {
		if reason, ok := v.shouldWithdraw(now, inc, m); ok {
			a.Withdraw = append(a.Withdraw, members.Withdraw{Incarnation: inc, Reason: reason})
			m.withdrawing, m.withdrawnAt = true, now
		}
	}
	sort.Strings(a.Heartbeat)
	sort.Slice(a.Withdraw, func(i, j int) bool { return a.Withdraw[i].Incarnation < a.Withdraw[j].Incarnation })
	return a
}

// shouldWithdraw decides whether to append a withdrawal, and why. A process that restarted in place
// answers under a new incarnation, which proves nothing about the old one, so that needs a majority.
func (v *View) shouldWithdraw(now time.Duration, inc string, m *member) (members.Reason, bool) {
	if inc == v.incarnation || v.members[v.incarnation] == nil || now-m.heard < WithdrawAfter {
		return "", false
	}
	if m.withdrawing && now-m.withdrawnAt < retryWithdraw {
		return "", false
	}
	if p := v.peers[m.instance]; p != nil && p.dead && p.incarnation == inc {
		return members.Refused, true
	}
	votes := 1
	for _, at := range m.silentTo {
		if now-at < reportLife {
			votes++
		}
	}
	return members.Silent, 2*votes > len(v.members)
}

// Peers returns the view, by instance.
func (v *View) Peers(now time.Duration) []Peer {
	out := make([]Peer, 0, len(v.peers))
	for _, p := range v.peers {
		out = append(out, Peer{ListEntry: p.listed, Incarnation: p.incarnation, Status: p.status(now), ControlNext: p.controlNext})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// Status returns the status of one peer. An unknown one is Suspect.
func (v *View) Status(now time.Duration, instance string) Status {
	if p := v.peers[instance]; p != nil {
		return p.status(now)
	}
	return Suspect
}

func (p *peer) status(now time.Duration) Status {
	switch {
	case p.dead:
		return Dead
	case now-p.heard >= SuspectAfter:
		return Suspect
	case p.listed.Leaving:
		return Leaving
	default:
		return Live
	}
}

// RequiredPeers returns the other instances whose promises the lease needs besides a majority: those
// that the platform's list shows as live, except those proven dead. It reports false before the
// first list, when nothing is known of who must be asked.
func (v *View) RequiredPeers() ([]string, bool) {
	var out []string
	for id, p := range v.peers {
		if p.inList && !p.dead {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out, v.listKnown
}
