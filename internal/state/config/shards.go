package config

import (
	"hash/maphash"
	"iter"
	"maps"
	"slices"
)

// shardCount is the number of shards of a shardedMap. A change copies the slice of shards, 16 KiB, and one
// shard, which holds about 90 of 93,000 adapters.
const shardCount = 1024

// shardSeed seeds the hash that assigns IDs to shards. The iteration order differs between processes, so
// nothing may depend on it.
var shardSeed = maphash.MakeSeed()

// shardedMap is a copy-on-write hash map from ID to object. Its lookup cost hardly grows with the number of
// objects, unlike that of a tree, which has about one cache miss per level.
type shardedMap[T any] struct {
	shards     []shard[T]
	count      int
	generation uint64
}

type shard[T any] struct {
	objects    map[string]*T
	generation uint64
}

func newShardedMap[T any]() shardedMap[T] { return shardedMap[T]{shards: make([]shard[T], shardCount)} }

func (s *shardedMap[T]) get(id string) (*T, bool) {
	v, ok := s.shards[maphash.String(shardSeed, id)%shardCount].objects[id]
	return v, ok
}

func (s *shardedMap[T]) put(generation uint64, id string, v *T) {
	objects := s.writableShard(generation, id)
	before := len(objects)
	objects[id] = v
	s.count += len(objects) - before
}

func (s *shardedMap[T]) remove(generation uint64, id string) {
	objects := s.writableShard(generation, id)
	before := len(objects)
	delete(objects, id)
	s.count += len(objects) - before
}

// writableShard returns the objects of the ID's shard for modification. It copies the shard unless the
// generation already owns it.
func (s *shardedMap[T]) writableShard(generation uint64, id string) map[string]*T {
	if s.generation != generation {
		s.shards, s.generation = slices.Clone(s.shards), generation
	}
	sh := &s.shards[maphash.String(shardSeed, id)%shardCount]
	if sh.generation != generation || sh.objects == nil {
		sh.objects, sh.generation = maps.Clone(sh.objects), generation
		if sh.objects == nil {
			sh.objects = map[string]*T{}
		}
	}
	return sh.objects
}

// all yields the objects in no fixed order.
func (s *shardedMap[T]) all() iter.Seq2[string, *T] {
	return func(yield func(string, *T) bool) {
		for _, sh := range s.shards {
			for id, v := range sh.objects {
				if !yield(id, v) {
					return
				}
			}
		}
	}
}
