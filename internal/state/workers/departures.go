package workers

// maxDepartures bounds the incarnations that are remembered after they left.
const maxDepartures = 4096

// departure is what was seen of an incarnation that left.
type departure struct {
	// draining is true if the incarnation reported that it drains, and gone if its entry was removed or replaced by one of
	// another incarnation.
	draining, gone bool
	// era is the era of the log in which it was gone, and seq the Seq of its last entry.
	era, seq int64
	// reported is true once an ignored entry of the incarnation was reported.
	reported bool
	// number increases with each departure.
	number int64
}

// departures holds the newest departures. A log that was restored from an older copy has entries from before them.
type departures struct {
	byKey map[Key]*departure
	count int64
	// ignored are the incarnations whose entries were ignored, each once.
	ignored []Key
}

// drain records that an incarnation reported that it drains.
func (d *departures) drain(w *Worker) {
	d.get(w.Key()).draining, d.get(w.Key()).gone = true, false
}

// remove records that the entry of an incarnation is gone in an era of the log.
func (d *departures) remove(w *Worker, era int64) {
	left := d.get(w.Key())
	left.gone, left.era, left.seq, left.reported = true, era, w.Seq, false
	left.draining = left.draining || w.Draining
}

// get returns the departure of an incarnation and creates it if necessary.
func (d *departures) get(k Key) *departure {
	if d.byKey[k] == nil {
		d.count++
		d.byKey[k] = &departure{number: d.count}
		d.trim()
	}
	return d.byKey[k]
}

// trim removes the oldest departure if there are too many.
func (d *departures) trim() {
	if len(d.byKey) <= maxDepartures {
		return
	}
	oldest := d.count
	var key Key
	for k, left := range d.byKey {
		if left.number < oldest {
			key, oldest = k, left.number
		}
	}
	delete(d.byKey, key)
}

// outdated reports whether a change by a worker is older than what was seen of the incarnation: draining is final.
func (d *departures) outdated(w *Worker) bool {
	left := d.byKey[w.Key()]
	return left != nil && left.draining && !w.Draining
}

// outdatedInSnapshot reports whether an entry in a snapshot is older than what was seen of the incarnation. In a later era
// than that of its departure, the entry may have been restored from a copy made before.
func (d *departures) outdatedInSnapshot(w *Worker, era int64) bool {
	left := d.byKey[w.Key()]
	return d.outdated(w) || left != nil && left.gone && (left.era < era || w.Seq < left.seq)
}

// ignore records that an entry of an incarnation was ignored.
func (d *departures) ignore(k Key) {
	if left := d.byKey[k]; left != nil && !left.reported {
		left.reported = true
		d.ignored = append(d.ignored, k)
	}
}
