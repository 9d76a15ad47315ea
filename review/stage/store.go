// Package stage holds small stand-ins for the scripts of the review: the platform's store, workers of a plain service, and
// instances of the product as processes of their own, all on loopback addresses.
package stage

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// callPrefix begins the path of every call to the store.
const callPrefix = "/turmericworks/"

// pollInterval is how often a waiting read looks for new records.
const pollInterval = 5 * time.Millisecond

// newestPage is the largest number of keys in a page of log-newest.
const newestPage = 500

// Store is the platform's store: a log with topics of one partition each, which keeps all records.
type Store struct {
	mu     sync.Mutex
	topics map[string][][]byte
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{topics: map[string][][]byte{}} }

// Put appends a keyed record with a value in JSON, or without a value if it is nil.
func (s *Store) Put(topic, key string, value any) error {
	record := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			return err
		}
		record = append(record, data...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record)
	return nil
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch strings.TrimPrefix(r.URL.Path, callPrefix) {
	case "log-append":
		s.append(w, r, q.Get("topic"))
	case "log-read":
		s.read(w, r, q.Get("topic"))
	case "log-newest":
		s.newest(w, q.Get("topic"), q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// writeJSON answers with a value in JSON.
func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has left gets no answer.
	_, _ = w.Write(data)
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, topic string) {
	framed, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var records [][]byte
	for len(framed) >= 4 {
		n := int(binary.BigEndian.Uint32(framed))
		if n > len(framed)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, framed[4:4+n])
		framed = framed[4+n:]
	}
	s.mu.Lock()
	offset := len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	end := len(s.topics[topic])
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]int{"offset": offset, "end": end})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, topic string) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// A value that is missing stands for no wait, and for the page's default of the size.
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	maxKB, err := strconv.Atoi(q.Get("maxSize"))
	if err != nil {
		maxKB = 1024
	}
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records := s.topics[topic]
		s.mu.Unlock()
		if from < len(records) || !time.Now().Before(deadline) || r.Context().Err() != nil {
			w.WriteHeader(http.StatusOK)
			// A caller that has left gets no answer.
			_, _ = w.Write(frame(records, from, maxKB<<10))
			return
		}
		time.Sleep(pollInterval)
	}
}

// frame returns the answer to a read: the end, the first offset, and records of at most the given size.
func frame(records [][]byte, from, maxBytes int) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, record := range records[min(from, len(records)):] {
		if len(b)+4+len(record) > maxBytes {
			break
		}
		b = binary.BigEndian.AppendUint32(b, uint32(len(record)))
		b = append(b, record...)
	}
	return b
}

type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (s *Store) newest(w http.ResponseWriter, topic, after string) {
	s.mu.Lock()
	records := s.topics[topic]
	s.mu.Unlock()
	latest := map[string]newestItem{}
	for offset, record := range records {
		n := int(record[0])
		key, value := string(record[1:1+n]), record[1+n:]
		if len(value) == 0 {
			delete(latest, key)
			continue
		}
		latest[key] = newestItem{key, base64.StdEncoding.EncodeToString(value), offset}
	}
	items := []newestItem{}
	for key, item := range latest {
		if key > after {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, k int) bool { return items[i].Key < items[k].Key })
	more := len(items) > newestPage
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), newestPage)], "hasMore": more, "end": len(records)})
}
