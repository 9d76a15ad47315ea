package workerload

import (
	"slices"
	"strings"
	"time"
)

const (
	// overShareEnd after the last request that was declined, a workspace is within its share again. It covers the pause of refused
	// callers, so that a workspace that stays over its share is reported once.
	overShareEnd = 2 * maxShareWait
	// maxOverShares bounds the workspaces that are reported.
	maxOverShares = 1024
)

// OverShares is which workspaces an instance knows to hold more than their shares.
type OverShares struct {
	known map[string]*declined
}

type declined struct {
	n    int
	last time.Duration
}

// Declined records that a request of a workspace was declined, and reports whether the workspace was within its share before.
func (o *OverShares) Declined(workspace string, now time.Duration) (began bool) {
	d := o.known[workspace]
	if d == nil {
		if len(o.known) >= maxOverShares {
			return false
		}
		if o.known == nil {
			o.known = map[string]*declined{}
		}
		d, began = &declined{}, true
		o.known[workspace] = d
	}
	d.n++
	d.last = now
	return began
}

// EndedOverShare is a workspace that is within its share again, after a number of its requests were declined.
type EndedOverShare struct {
	Workspace string
	Declined  int
}

// Ended returns the workspaces that are within their shares again since the last call, in the order of their names.
func (o *OverShares) Ended(now time.Duration) (list []EndedOverShare) {
	for name, d := range o.known {
		if now-d.last >= overShareEnd {
			list = append(list, EndedOverShare{name, d.n})
			delete(o.known, name)
		}
	}
	slices.SortFunc(list, func(x, y EndedOverShare) int { return strings.Compare(x.Workspace, y.Workspace) })
	return list
}
