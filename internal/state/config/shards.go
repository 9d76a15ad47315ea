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

// sharded is a copy-on-write hash map from id to object. Its look-up cost hardly grows with the number of
// objects, unlike a tree's, which misses the processor's cache once per level.
type sharded[T any] struct {
	parts      []shard[T]
	count      int
	generation uint64
}

type shard[T any] struct {
	objects    map[string]*T
	generation uint64
}

func newSharded[T any]() sharded[T] { return sharded[T]{parts: make([]shard[T], shardCount)} }

func (s *sharded[T]) get(id string) (*T, bool) {
	v, ok := s.parts[maphash.String(shardSeed, id)%shardCount].objects[id]
	return v, ok
}

func (s *sharded[T]) put(generation uint64, id string, v *T) {
	objects := s.writable(generation, id)
	before := len(objects)
	objects[id] = v
	s.count += len(objects) - before
}

func (s *sharded[T]) drop(generation uint64, id string) {
	objects := s.writable(generation, id)
	before := len(objects)
	delete(objects, id)
	s.count += len(objects) - before
}

// writable returns the part of an id for modification under a generation.
func (s *sharded[T]) writable(generation uint64, id string) map[string]*T {
	if s.generation != generation {
		s.parts, s.generation = slices.Clone(s.parts), generation
	}
	part := &s.parts[maphash.String(shardSeed, id)%shardCount]
	if part.generation != generation || part.objects == nil {
		part.objects, part.generation = maps.Clone(part.objects), generation
		if part.objects == nil {
			part.objects = map[string]*T{}
		}
	}
	return part.objects
}

// all yields the objects in no fixed order.
func (s *sharded[T]) all() iter.Seq2[string, *T] {
	return func(yield func(string, *T) bool) {
		for _, part := range s.parts {
			for id, v := range part.objects {
				if !yield(id, v) {
					return
				}
			}
		}
	}
}
