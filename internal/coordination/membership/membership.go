// Package membership combines the platform's list, the registered members and heartbeats into a view of the other
// instances. It decides which instances to send a heartbeat to and which members to withdraw.
package membership

import (
	"sort"
	"time"

	"github.com/turmericworks/turmericworks/internal/state/members"
)

const (
	// HeartbeatInterval is the time between two heartbeats to a peer.
	HeartbeatInterval = 500 * time.Millisecond
	// SuspectAfter is how long a peer may be silent before no shares are requested from it: three heartbeats.
	SuspectAfter = 1500 * time.Millisecond
	// WithdrawAfter is how long a member must be silent before it can be withdrawn.
	WithdrawAfter = 3 * time.Second
	// silenceReportTTL is how long a peer's report that a member is silent counts: two heartbeats and a margin.
	silenceReportTTL = 1200 * time.Millisecond
	// withdrawRetryInterval is how long to wait for an appended withdrawal to appear in the log before it is appended
	// again.
	withdrawRetryInterval = 5 * time.Second
)

// Status is the state of a peer as far as this instance knows.
type Status int

// The statuses of a peer.
const (
	// Live means that a message of the peer arrived within SuspectAfter.
	Live Status = iota
	// Suspect means that no message of the peer arrived within SuspectAfter.
	Suspect
	// Dead means that the peer refused a connection and no message of it arrived since.
	Dead
	// Leaving means that the peer is live but is about to stop.
	Leaving
)

// ListEntry is one entry of the platform's list.
type ListEntry struct {
	Instance, PeerAddr, DataCentre string
	Leaving                        bool
}

// Peer is what a View contains about another instance.
type Peer struct {
	ListEntry
	// Incarnation is the newest known one. It is empty until a join or a heartbeat names it.
	Incarnation string
	Status      Status
	// ControlNext is the position in the control stream that the peer last reported.
	ControlNext uint64
}

// peer is the state of another instance, which heartbeats are sent to.
type peer struct {
	listed         ListEntry
	inList         bool
	incarnation    string // newest known
	lastHeard      time.Duration
	refused        bool // a connection to the incarnation was refused
	controlNext    uint64
	nextHeartbeat  time.Duration
	reportedSilent []string // members that the peer's last heartbeat named as silent
}

// member is a registered incarnation. An instance that restarted has two members until the first one is withdrawn.
type member struct {
	instance            string
	lastHeard           time.Duration
	silenceReports      map[string]time.Duration // time of the last report of silence, by reporting instance
	withdrawAttempted   bool
	withdrawAttemptedAt time.Duration
}

// Actions is the result of Tick.
type Actions struct {
	// Heartbeat lists the instances to send a heartbeat to.
	Heartbeat []string
	// Withdraw lists the withdrawal records to append to the log.
	Withdraw []members.Withdraw
	// Next is when to call Tick again.
	Next time.Duration
}

// View is one instance's view of its peers. Its size is bounded by the number of listed instances and registered
// members, and by the reports of silence: at most one for each member and reporting instance. It is not safe for
// concurrent use.
type View struct {
	instance, incarnation string
	peers                 map[string]*peer
	members               map[string]*member
	listKnown             bool
}

// New returns the view of an instance, without any peers.
func New(instance, incarnation string) *View {
	return &View{instance: instance, incarnation: incarnation, peers: map[string]*peer{}, members: map[string]*member{}}
}

// peer returns the peer of an instance, which it adds if necessary.
func (v *View) peer(now time.Duration, instance string) *peer {
	p := v.peers[instance]
	if p == nil {
		p = &peer{lastHeard: now, nextHeartbeat: now}
		p.listed.Instance = instance
		v.peers[instance] = p
	}
	return p
}

// SetList replaces the platform's list. It must not be called after a failed look-up, so that the last list stays in
// force.
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

// SetMembers replaces the registered members, as derived from the control stream. The newest join of an instance
// determines its incarnation.
func (v *View) SetMembers(now time.Duration, list []members.Member) {
	registered := make(map[string]bool, len(list))
	newest := make(map[string]members.Member, len(list))
	for _, m := range list {
		registered[m.Incarnation] = true
		if v.members[m.Incarnation] == nil {
			v.members[m.Incarnation] = &member{instance: m.Instance, lastHeard: now, silenceReports: map[string]time.Duration{}}
		}
		if n, ok := newest[m.Instance]; !ok || n.JoinOffset <= m.JoinOffset {
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
			p.replaceIncarnation(now, m.Incarnation)
		}
	}
	v.prune()
}

// replaceIncarnation resets the peer for a new incarnation of the same instance.
func (p *peer) replaceIncarnation(now time.Duration, incarnation string) {
	p.incarnation, p.lastHeard, p.refused, p.controlNext = incarnation, now, false, 0
}

// prune removes instances that are neither listed nor have a registered member.
func (v *View) prune() {
	used := make(map[string]bool, len(v.members))
	for _, m := range v.members {
		used[m.instance] = true
	}
	for id, p := range v.peers {
		if !p.inList && !used[id] {
			v.clearSilenceReports(id, p)
			delete(v.peers, id)
		}
	}
}

// clearSilenceReports removes the reports of silence from the peer's last heartbeat.
func (v *View) clearSilenceReports(instance string, p *peer) {
	for _, s := range p.reportedSilent {
		if m := v.members[s]; m != nil {
			delete(m.silenceReports, instance)
		}
	}
	p.reportedSilent = nil
}

// RecordHeartbeat records a heartbeat from a peer, or the answer to one, with the peer's position in the control stream
// and the incarnations that it reports as silent. The caller discards messages of incarnations that the control stream
// has ended, so an unknown incarnation is one that has not joined yet.
func (v *View) RecordHeartbeat(now time.Duration, instance, incarnation string, controlNext uint64, silent []string) {
	if m := v.members[incarnation]; m != nil {
		m.lastHeard = now
	}
	p := v.peers[instance]
	if p == nil || incarnation == "" {
		return
	}
	if p.incarnation != incarnation {
		if v.members[incarnation] != nil && v.members[p.incarnation] != nil {
			return // a late message of the previous incarnation
		}
		p.replaceIncarnation(now, incarnation)
	}
	p.lastHeard, p.refused = now, false
	p.controlNext = max(p.controlNext, controlNext)
	v.clearSilenceReports(instance, p)
	if v.members[incarnation] == nil {
		return
	}
	for _, s := range silent {
		if m := v.members[s]; m != nil {
			m.silenceReports[instance] = now
			p.reportedSilent = append(p.reportedSilent, s)
		}
	}
}

// RecordRefusal records that a connection to the peer's address was refused while the given incarnation was the newest
// known one. That process has ended.
func (v *View) RecordRefusal(instance, incarnation string) {
	if p := v.peers[instance]; p != nil && p.incarnation == incarnation {
		p.refused = true
	}
}

// SilentMembers returns the members from which no message arrived within WithdrawAfter. This instance's heartbeats
// report them.
func (v *View) SilentMembers(now time.Duration) []string {
	var out []string
	for inc, m := range v.members {
		if inc != v.incarnation && now-m.lastHeard >= WithdrawAfter {
			out = append(out, inc)
		}
	}
	sort.Strings(out)
	return out
}

// Tick returns the actions that are due at the time. Its results do not depend on how often it is called.
func (v *View) Tick(now time.Duration) Actions {
	a := Actions{Next: now + HeartbeatInterval}
	for id, p := range v.peers {
		if now >= p.nextHeartbeat {
			a.Heartbeat = append(a.Heartbeat, id)
			p.nextHeartbeat = max(p.nextHeartbeat+HeartbeatInterval, now+HeartbeatInterval/2)
		}
		a.Next = min(a.Next, p.nextHeartbeat)
	}
	for inc, m := range v.members {
		if reason, ok := v.shouldWithdraw(now, inc, m); ok {
			a.Withdraw = append(a.Withdraw, members.Withdraw{Incarnation: inc, Reason: reason})
			m.withdrawAttempted, m.withdrawAttemptedAt = true, now
		}
	}
	sort.Strings(a.Heartbeat)
	sort.Slice(a.Withdraw, func(i, j int) bool { return a.Withdraw[i].Incarnation < a.Withdraw[j].Incarnation })
	return a
}

// shouldWithdraw reports whether to append a withdrawal, and the reason for it. Messages of a new incarnation of the same
// instance do not prove that the old one has ended, so the withdrawal of the old one needs a majority.
func (v *View) shouldWithdraw(now time.Duration, inc string, m *member) (members.Reason, bool) {
	if inc == v.incarnation || v.members[v.incarnation] == nil || now-m.lastHeard < WithdrawAfter {
		return "", false
	}
	if m.withdrawAttempted && now-m.withdrawAttemptedAt < withdrawRetryInterval {
		return "", false
	}
	if p := v.peers[m.instance]; p != nil && p.refused && p.incarnation == inc {
		return members.Refused, true
	}
	votes := 1
	for _, at := range m.silenceReports {
		if now-at < silenceReportTTL {
			votes++
		}
	}
	return members.Silent, 2*votes > len(v.members)
}

// Peers returns the peers, sorted by instance.
func (v *View) Peers(now time.Duration) []Peer {
	out := make([]Peer, 0, len(v.peers))
	for _, p := range v.peers {
		out = append(out, Peer{ListEntry: p.listed, Incarnation: p.incarnation, Status: p.status(now), ControlNext: p.controlNext})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// Status returns the status of one peer. It is Suspect if the instance is unknown.
func (v *View) Status(now time.Duration, instance string) Status {
	if p := v.peers[instance]; p != nil {
		return p.status(now)
	}
	return Suspect
}

func (p *peer) status(now time.Duration) Status {
	switch {
	case p.refused:
		return Dead
	case now-p.lastHeard >= SuspectAfter:
		return Suspect
	case p.listed.Leaving:
		return Leaving
	default:
		return Live
	}
}

// RequiredPeers returns the other instances whose promises the lease needs in addition to a majority: all that the
// platform lists, except the Dead ones. It reports false before the first list, while the required instances are
// unknown.
func (v *View) RequiredPeers() ([]string, bool) {
	var out []string
	for id, p := range v.peers {
		if p.inList && !p.refused {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out, v.listKnown
}
