package placement

import "github.com/turmericworks/turmericworks/internal/state/adapter"

// maxPrefixes is the number of prefixes that are tracked per engine. With 4,900 engines they take at most
// 20 MB of the 64 MB that an instance may use.
const maxPrefixes = 256

// PrefixEvent reports that an engine stored a prompt prefix in its cache or evicted one.
type PrefixEvent struct {
	// Sequence numbers the events of an incarnation consecutively. A gap means that events were lost.
	Sequence uint64
	Adapter  adapter.Ref
	Prefix   uint64
	Stored   bool
}

// prefixCache tracks the prefixes that one engine has cached, in a direct-mapped table that is allocated at the
// first event. On a collision the new prefix replaces the old one.
type prefixCache struct {
	keys         []uint64
	lastSequence uint64
}

// prefixKey returns the table key of a prefix. It is never 0, which marks an empty entry.
func prefixKey(a adapter.Ref, prefix uint64) uint64 {
	k := hashRef(a) ^ prefix*0x9e3779b97f4a7c15
	if k == 0 {
		k = 1
	}
	return k
}

func (p *prefixCache) contains(a adapter.Ref, prefix uint64) bool {
	if p.keys == nil {
		return false
	}
	k := prefixKey(a, prefix)
	return p.keys[k%maxPrefixes] == k
}

// apply applies one event. A gap in the sequence clears the table, since the lost events may have evicted any
// of its prefixes. A late or repeated event is ignored.
func (p *prefixCache) apply(ev PrefixEvent) {
	if ev.Sequence <= p.lastSequence && p.lastSequence != 0 {
		return
	}
	if p.keys == nil {
		p.keys = make([]uint64, maxPrefixes)
	}
	if p.lastSequence != 0 && ev.Sequence != p.lastSequence+1 {
		clear(p.keys)
	}
	p.lastSequence = ev.Sequence
	k := prefixKey(ev.Adapter, ev.Prefix)
	if ev.Stored {
		p.keys[k%maxPrefixes] = k
	} else if p.keys[k%maxPrefixes] == k {
		p.keys[k%maxPrefixes] = 0
	}
}
