package config

import (
	"hash/maphash"
	"iter"
	"maps"
	"slices"
)

// shardCount is the number of parts of a sharded map. A change copies the list of parts, 16 KiB, and one
// part, which holds about 90 of 93,000 adapters.
const shardCount = 1024

// shardSeed spreads ids over the parts. The order differs between processes, so nothing may depend on it.
var shardSeed = maphash.MakeSeed()

// shardedMap is a copy-on-write hash map from id to object. Its look-up cost hardly grows with the number of
// objects, unlike a tree's, which misses the processor's cache once per level.
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

// writableShard returns the part of an id for modification under a generation.
func (s *shardedMap[T]) writableShard(generation uint64, id string) map[string]*T {
	if s.generation != generation {
		s.shards, s.generation = slices.Clone(s.shards), generation
	}
	part := &s.shards[maphash.String(shardSeed, id)%shardCount]
	if part.generation != generation || part.objects == nil {
		part.objects, part.generation = maps.Clone(part.objects), generation
		if part.objects == nil {
			part.objects = map[string]*T{}
		}
	}
	return part.objects
}

// all yields the objects in no fixed order.
func (s *shardedMap[T]) all() iter.Seq2[string, *T] {
	return func(yield func(string, *T) bool) {
		for _, part := range s.shards {
			for id, v := range part.objects {
				if !yield(id, v) {
					return
				}
			}
		}
	}
}
