package placement

import "github.com/turmericworks/turmericworks/internal/state/adapter"

// prefixEntries bounds the prefixes remembered per engine. At 4,900 engines the hints take 20 MB
// at most, of the 64 MB that an instance may use.
const prefixEntries = 256

// PrefixEvent says that an engine stored or dropped a prompt prefix.
type PrefixEvent struct {
	// Sequence numbers an incarnation's events without gaps; a missing number is a lost event.
	Sequence uint64
	Adapter  adapter.Ref
	Prefix   uint64
	Stored   bool
}

// prefixCache remembers the prefixes of one engine in a direct-mapped table, allocated at the first
// event. A collision drops the older hint.
type prefixCache struct {
	keys []uint64
	last uint64
}

func prefixKey(a adapter.Ref, prefix uint64) uint64 {
	k := hashRef(a) ^ prefix*0x9e3779b97f4a7c15
	if k == 0 {
		k = 1
	}
	return k
}

func (p *prefixCache) has(a adapter.Ref, prefix uint64) bool {
	if p.keys == nil {
		return false
	}
	k := prefixKey(a, prefix)
	return p.keys[k%prefixEntries] == k
}

// apply takes one event. After a gap all older hints are dropped, since the lost events may have
// dropped any of them. A late or repeated event is ignored.
func (p *prefixCache) apply(ev PrefixEvent) {
	if ev.Sequence <= p.last && p.last != 0 {
		return
	}
	if p.keys == nil {
		p.keys = make([]uint64, prefixEntries)
	}
	if p.last != 0 && ev.Sequence != p.last+1 {
		clear(p.keys)
	}
	p.last = ev.Sequence
	k := prefixKey(ev.Adapter, ev.Prefix)
	if ev.Stored {
		p.keys[k%prefixEntries] = k
	} else if p.keys[k%prefixEntries] == k {
		p.keys[k%prefixEntries] = 0
	}
}
