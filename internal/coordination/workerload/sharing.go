package workerload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// useMemory is the time in which the measures of a workspace's use fall to about a third. It is longer than usual requests
	// last, and short enough that a new owner knows the workspaces within seconds.
	useMemory = 2 * time.Second
	// activeTime after its last request, a workspace no longer counts as sending.
	activeTime = 3 * useMemory
	// usableShare of the capacity is divided between the workspaces. With all of it divided, the queues of those that stay within
	// their shares would grow at random.
	usableShare = 0.9
	// shortShare of the time that a request may wait is the wait from which capacity is short. Below it, those that stay within their
	// shares are still served in time, and places are not left free between two requests.
	shortShare = 0.3
	// minShareTimes of the time of a request is the shortest time that is named until a share is available. A shorter one only brings
	// more questions: no place of the workspace ends before.
	minShareTimes = 0.25
	// unmetShare of what a workspace asked for without getting it counts as demand: such a request also asks other servers, and asks
	// again. With all of it counted, the shares of those with usual demand would be too small under overload.
	unmetShare = 1.0 / maxAsked
	// maxWorkspaces bounds the workspaces that are known at one server.
	maxWorkspaces = 1024
	// maxShareWait bounds the time that is named until a share is available.
	maxShareWait = 10 * time.Second
)

// Share says whose request it is, so that capacity that is short is divided between workspaces. The zero value means that this is
// not known: the request is then treated as if there were no shares.
type Share struct {
	Workspace string
	// Rate is the workspace's rate in requests per second, 0 if it has none.
	Rate float64
}

// NewShare returns a share. A rate that is negative or not a number counts as none; the sum of rates stays finite.
func NewShare(workspace string, rate float64) Share {
	const maxRate = 1e12
	if rate > 0 {
		return Share{workspace, min(rate, maxRate)}
	}
	return Share{Workspace: workspace}
}

// RequestRate returns a workspace's rate in requests per second, so that rates in tokens and in requests can be compared. It is 0
// for a rate in tokens if the usual tokens of a request are not configured.
func RequestRate(rate float64, countsTokens bool, defaultTokens float64) float64 {
	switch {
	case !countsTokens:
		return max(0, rate)
	case defaultTokens > 0:
		return max(0, rate/defaultTokens)
	}
	return 0
}

// workspaceUse is what a workspace has asked for and got at a server in the last seconds, as the average number of places.
type workspaceUse struct {
	rate        float64
	asked, used float64
	// at is when these were brought up to date, and sent when the workspace sent its last request.
	at, sent time.Duration
}

func (u *workspaceUse) decay(now time.Duration) {
	if now > u.at {
		f := math.Exp(-float64(now-u.at) / float64(useMemory))
		u.asked, u.used, u.at = u.asked*f, u.used*f, now
	}
}

// demand returns the places that the workspace is taken to need.
func (u *workspaceUse) demand() float64 { return u.used + unmetShare*max(0, u.asked-u.used) }

// average returns by how much a request that holds a place for a time raises the average number of places. The time is bounded since
// callers name the sizes from which it is derived.
func average(takes time.Duration) float64 {
	const longest = time.Hour
	return float64(min(max(takes, 0), longest)) / float64(useMemory)
}

// sharing divides the places of a server between workspaces while they are short.
//
// It handles load of this kind: a workspace that stays within its rate but sends several times its usual load, and takes the places
// of the others since places are given first come, first served.
type sharing struct {
	known map[string]*workspaceUse
}

// of returns the use of a workspace. The least used one is forgotten for it if there are too many.
func (s *sharing) of(workspace string, now time.Duration) *workspaceUse {
	u := s.known[workspace]
	if u == nil {
		if s.known == nil {
			s.known = map[string]*workspaceUse{}
		}
		if len(s.known) >= maxWorkspaces {
			s.forgetLeast(now)
		}
		u = &workspaceUse{at: now}
		s.known[workspace] = u
	}
	u.decay(now)
	u.sent = now
	return u
}

func (s *sharing) forgetLeast(now time.Duration) {
	least, use := "", math.Inf(1)
	for name, u := range s.known {
		u.decay(now)
		if n := u.asked + u.used; n < use || n == use && name < least {
			least, use = name, n
		}
	}
	delete(s.known, least)
}

// ask records a request, which holds a place for the time takes if it gets one.
func (s *sharing) ask(share Share, takes, now time.Duration) {
	if share.Workspace == "" {
		return
	}
	u := s.of(share.Workspace, now)
	u.rate = share.Rate
	u.asked += average(takes)
}

// give records that a request got a place.
func (s *sharing) give(share Share, takes, now time.Duration) {
	if share.Workspace != "" {
		s.of(share.Workspace, now).used += average(takes)
	}
}

// holding is how many places each workspace holds, and after which times those of the workspace in question are expected to end.
type holding struct {
	workspace string
	places    map[string]int
	ends      []time.Duration
	total     int
}

// add adds a place of a workspace that is expected to end after a time.
func (h *holding) add(workspace string, end time.Duration) {
	if workspace == "" {
		return
	}
	h.places[workspace]++
	h.total++
	if workspace == h.workspace {
		h.ends = append(h.ends, max(end, 0))
	}
}

// over reports whether the workspace in question holds more than its share of a number of places, and how long until it holds less. What a
// workspace does not ask for is divided between the others in the proportion of their rates.
//
// One place does not count as held, since shares of many workspaces are fractions of a place.
func (s *sharing) over(held holding, places int, takes, now time.Duration) (until time.Duration, over bool) {
	u := s.known[held.workspace]
	if u == nil {
		return 0, false
	}
	own, limited := s.part(u, held, usableShare*float64(places), now)
	if !limited {
		return 0, false
	}
	if u.used > own {
		until, over = time.Duration(float64(useMemory)*min(math.Log(u.used/own), float64(maxShareWait/useMemory))), true
	}
	if excess := float64(len(held.ends)-1) - own; excess > 0 {
		slices.Sort(held.ends)
		until, over = max(until, held.ends[min(len(held.ends), int(math.Ceil(excess)))-1]), true
	}
	if !over {
		return 0, false
	}
	return min(max(until, minRetryAfter, time.Duration(minShareTimes*float64(takes))), maxShareWait), true
}

// part returns how many places are those of a workspace, if the places do not suffice for what all ask for. Those that ask for less than their
// part get what they ask for.
func (s *sharing) part(own *workspaceUse, held holding, places float64, now time.Duration) (part float64, limited bool) {
	type demand struct {
		places, weight float64
		name           string
	}
	rates, rated, weights := 0.0, 0.0, 0.0
	active := s.active(now)
	for _, name := range active {
		if r := s.known[name].rate; r > 0 {
			rates, rated = rates+r, rated+1
		}
	}
	mean := rates / max(1, rated)
	list := make([]demand, 0, len(active))
	for _, name := range active {
		u := s.known[name]
		u.decay(now)
		d := demand{max(u.demand(), float64(held.places[name])), u.weight(mean), name}
		list = append(list, d)
		weights += d.weight
	}
	slices.SortFunc(list, func(x, y demand) int {
		return cmp.Or(cmp.Compare(x.places/x.weight, y.places/y.weight), cmp.Compare(x.name, y.name))
	})
	for i, d := range list {
		if level := places / weights; d.places > level*d.weight {
			// With a single workspace there is no other one that the places could be kept for.
			return level * own.weight(mean), len(list) > 1
		}
		if i+1 < len(list) {
			places -= d.places
			weights -= d.weight
		}
	}
	return 0, false
}

// active returns the workspaces that are sending requests, in the order of their names, since sums of floating-point numbers depend on it.
func (s *sharing) active(now time.Duration) []string {
	names := make([]string, 0, len(s.known))
	for name, u := range s.known {
		if now-u.sent <= activeTime {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// weight returns what the workspace's share is proportional to, given the mean rate of those that have one. One without a rate counts like
// the mean.
func (u *workspaceUse) weight(mean float64) float64 { return cmp.Or(u.rate, mean, 1) }

// placeTime is how long a request is expected to hold a place.
func (l *Load) placeTime(r Request) time.Duration {
	return l.baseTime.Duration + l.promptTime.of(r.Prompt) + l.outputTime.of(r.Output)
}

// promptsWait reports whether a prompt waits for the one that is being read.
func (l *Load) promptsWait(now time.Duration) bool {
	n := 0
	for _, p := range l.places {
		if !p.begun && p.ready <= now {
			n++
		}
	}
	return n > 1
}

// OverShare reports whether a request gets no place because its workspace holds more than its share of the server while capacity is
// short: the queue takes a large part of the time that the request may wait. Until is the time until the workspace holds less.
func (l *Load) OverShare(r Request, maxWait, now time.Duration) (until time.Duration, over bool) {
	if r.Share.Workspace == "" {
		return 0, false
	}
	queue := l.roomAt(r, now, now) - now
	if l.promptsWait(now) {
		queue = max(queue, l.promptsRead(now)-now)
	}
	if queue <= time.Duration(shortShare*float64(maxWait)) {
		return 0, false
	}
	held := holding{workspace: r.Share.Workspace, places: map[string]int{}}
	for _, p := range l.places {
		held.add(p.request.Share.Workspace, p.end-now)
	}
	places := held.total
	if l.slots > 0 {
		places = min(places, l.slots)
	}
	return l.shares.over(held, places, l.placeTime(r), now)
}

// overShare reports whether a request gets no place because its workspace holds more than its share of the worker while capacity is
// short, and the time until it holds less.
func (l *Plain) overShare(b Bounds, now time.Duration) (until time.Duration, over bool) {
	if b.Share.Workspace == "" || l.Wait(now) <= time.Duration(shortShare*float64(max(b.MaxWait, b.Within))) {
		return 0, false
	}
	held := holding{workspace: b.Share.Workspace, places: map[string]int{}}
	for i, p := range l.places {
		end := time.Duration(1+i/l.slots) * l.time.Duration
		if i < l.slots {
			end = l.remaining(p, now)
		}
		held.add(p.workspace, end)
	}
	return l.shares.over(held, min(l.slots, held.total), l.time.Duration, now)
}
