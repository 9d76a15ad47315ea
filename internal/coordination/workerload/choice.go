package workerload

import "time"

// maxAsked is how many servers are asked for one request. Each question takes a round trip between instances.
const maxAsked = 4

// maxOverAsked is how many servers are asked for a request whose workspace is over its share at each of them: the others that hold its
// adapters are probably as short, and under overload such requests are the most frequent ones.
const maxOverAsked = 2

// Answer is what the owner of a server answered to a question about a request.
type Answer struct {
	// Known is false if the owner was not reached, so that nothing is known of the server's load.
	Known bool
	// Admitted means that the request has a place.
	Admitted bool
	// Wait is the expected time until the first event, if the owner was reached.
	Wait time.Duration
	// Defers means that the server takes requests of a mixture of prompts only as Load.Admit decides: none is sent there in any case.
	Defers bool
	// OverShare means that the request got no place because its workspace holds more than its share. Wait is then the time until it
	// holds less, and InTime means that this is soon enough.
	OverShare, InTime bool
}

// Step is what to do next with a request whose adapter is resident at several servers, or with one to a plain service. Not every
// step applies to both.
type Step int

// The steps.
const (
	// Ask asks the owner of the next server.
	Ask Step = iota + 1
	// Send sends the request to a server that has a place for it, or to one whose load is not known if no other has declined.
	// Otherwise the requests for which there is no place would all go to the few servers of which nothing is known; with it,
	// a server without an owner still gets its usual part.
	Send
	// SendLate sends the request to a server although its first event is expected too late.
	SendLate
	// LoadElsewhere loads the adapter at a further server.
	LoadElsewhere
	// Refuse refuses the request, since no server is expected to begin its answer before its deadline.
	Refuse
	// Hold lets the request wait at its instance, and then begins anew.
	Hold
)

// Choice is a step, the index of the server that it concerns, and for Refuse and Hold the time until one is expected to
// begin such a request.
type Choice struct {
	Step       Step
	Index      int
	RetryAfter time.Duration
	// Share means that the request is held or refused since its workspace holds more than its share.
	Share bool
}

// Choose returns the next step for a request with a number of servers at which its adapter is resident, in the order in which
// they are to be asked. Answers are those of the servers that were asked so far. CanLoad is true if the adapter may still
// be loaded elsewhere, and left is the time until the request's deadline. A request whose workspace is over its share at all servers
// waits if the share is available soon, and is refused otherwise: it is not sent late beside others.
func Choose(answers []Answer, servers int, canLoad bool, left time.Duration) Choice {
	best, over := -1, -1
	for i, a := range answers {
		switch {
		case a.Admitted || !a.Known && best < 0 && over < 0:
			return Choice{Step: Send, Index: i}
		case a.Known && a.OverShare:
			if over < 0 || a.Wait < answers[over].Wait {
				over = i
			}
		case a.Known && (best < 0 || a.Wait < answers[best].Wait):
			best = i
		}
	}
	switch {
	case len(answers) < min(servers, maxAsked) && (best >= 0 || over < 0 || len(answers) < maxOverAsked):
		return Choice{Step: Ask, Index: len(answers)}
	case canLoad:
		return Choice{Step: LoadElsewhere}
	case best < 0 && over >= 0:
		step := Refuse
		if answers[over].InTime && answers[over].Wait < left {
			step = Hold
		}
		return Choice{Step: step, Index: over, RetryAfter: answers[over].Wait, Share: true}
	case best < 0:
		return Choice{Step: Refuse}
	case answers[best].Wait >= left:
		return Choice{Step: Refuse, RetryAfter: answers[best].Wait}
	case answers[best].Defers:
		return Choice{Step: Hold, Index: best, RetryAfter: answers[best].Wait}
	default:
		return Choice{Step: SendLate, Index: best}
	}
}

const (
	// firstEventShare is the part of the time until a request's target latency within which its first event must be
	// expected. The rest covers the error of the expectation and the way between the instances.
	firstEventShare = 0.7
	// lateWait is within which time the first event of a request must be expected that misses its target anyway, so that
	// an idle server is preferred.
	lateWait = 150 * time.Millisecond
)

// MaxWait returns within which time the first event must be expected for a request to be admitted. The slack is the time
// until its target latency; if that has passed, the request goes where it takes nothing from others.
func MaxWait(slack time.Duration) time.Duration {
	return max(lateWait, time.Duration(firstEventShare*float64(slack)))
}

// FurtherSlack returns within which time a further server must have loaded the adapter of a request that no server with the
// adapter admits: until the request would be late, whose slack is given, or else until the reserve before the best of those
// servers is expected to begin it, but in time for its deadline, which is in the time left. Without that, a popular adapter stays at
// a few overloaded servers as soon as a load takes longer than the slack.
func FurtherSlack(answers []Answer, slack, reserve, left time.Duration) time.Duration {
	best, known := time.Duration(0), false
	for _, a := range answers {
		if a.Known && (!known || a.Wait < best) {
			best, known = a.Wait, true
		}
	}
	return min(max(slack, best-reserve), left-reserve)
}
