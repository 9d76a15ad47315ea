// Package scene has small stand-ins for the platform's store, its workers and its clients, and starts instances of
// turmeric-gateway as separate processes on loopback addresses. The scripts of the second review use it.
package scene

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The topics of the operator and of the workers.
const (
	OperatorTopic = "keyed.op"
	WorkerTopic   = "keyed.servers"
)

const (
	lengthBytes    = 4
	pageItems      = 500
	defaultReadKB  = 1024
	serverIdleTime = time.Minute
)

// Store is the platform's store: a log with one partition for each topic. It keeps all records.
type Store struct {
	Address string

	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
}

// NewStore starts a store on a free port of a loopback address.
func NewStore(host string) (*Store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), topics: map[string][][]byte{}, changed: make(chan struct{})}
	serve(l, s)
	return s, nil
}

// serve serves HTTP on a listener until the server is closed or the process ends.
func serve(l net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{Handler: h, IdleTimeout: serverIdleTime}
	go func() { _ = srv.Serve(l) }()
	return srv
}

// Put appends a record of a keyed topic whose value is encoded as JSON, and returns when that was done.
func (s *Store) Put(topic, key string, value any) (time.Time, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return time.Time{}, err
	}
	return s.PutBytes(topic, key, data), nil
}

// Remove appends a record of a keyed topic that drops the key.
func (s *Store) Remove(topic, key string) { s.PutBytes(topic, key, nil) }

// PutBytes appends a record of a keyed topic, and returns when that was done.
func (s *Store) PutBytes(topic, key string, value []byte) time.Time {
	record := append(append([]byte{byte(len(key))}, key...), value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, record)
	return time.Now()
}

// append appends records and wakes the reads that wait. The lock is held.
func (s *Store) append(topic string, records ...[]byte) {
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch strings.TrimPrefix(r.URL.Path, "/turmericworks/") {
	case "log-append":
		s.serveAppend(w, r, body)
	case "log-read":
		s.serveRead(w, r)
	case "log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, body []byte) {
	var records [][]byte
	for len(body) >= lengthBytes {
		n := int(binary.BigEndian.Uint32(body))
		if body = body[lengthBytes:]; n > len(body) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records, body = append(records, body[:n]), body[n:]
	}
	topic := r.URL.Query().Get("topic")
	if topic == OperatorTopic || topic == WorkerTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(offset) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int{"end": offset})
		return
	}
	s.append(topic, records...)
	writeJSON(w, http.StatusOK, map[string]int{"offset": offset, "end": offset + len(records)})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, errFrom := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	maxKB, err := strconv.Atoi(q.Get("maxSize"))
	if err != nil || maxKB <= 0 {
		maxKB = defaultReadKB
	}
	if errFrom != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		records, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		if len(records) > from || wait == 0 {
			_, _ = w.Write(readAnswer(records, from, maxKB<<10))
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-end.C:
			wait = 0
		}
	}
}

// readAnswer returns the end and the first offset, and the records from an offset on, as far as size permits.
func readAnswer(records [][]byte, from, size int) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, r := range records[min(from, len(records)):] {
		if len(b)+lengthBytes+len(r) > size {
			break
		}
		b = binary.BigEndian.AppendUint32(b, uint32(len(r)))
		b = append(b, r...)
	}
	return b
}

type newestItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	topic, after := r.URL.Query().Get("topic"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]newestItem{}
	for i, record := range s.topics[topic] {
		key, value := string(record[1:1+int(record[0])]), record[1+int(record[0]):]
		delete(newest, key)
		if len(value) > 0 && key > after {
			newest[key] = newestItem{key, value, i}
		}
	}
	items := []newestItem{}
	for _, item := range newest {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b newestItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	writeJSON(w, http.StatusOK, map[string]any{
		"items": items[:min(pageItems, len(items))], "hasMore": more, "end": len(s.topics[topic]),
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("value of an answer: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
