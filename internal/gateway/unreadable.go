package gateway

import (
	"fmt"

	"github.com/turmericworks/turmericworks/internal/protocol/external"
	"github.com/turmericworks/turmericworks/internal/state/workers"
)

const (
	// maxUnreadableLogged bounds the skipped records that are logged for one read.
	maxUnreadableLogged = 5
	// maxLoggedKeyBytes bounds the part of a record's key that is logged.
	maxLoggedKeyBytes = 64
	// maxLoggedErrorBytes bounds the part of an error that is logged: it may quote the record.
	maxLoggedErrorBytes = 200
)

// unreadableEntries returns the entries of the registry that were skipped.
func unreadableEntries(entries []workers.Entry) []external.Unreadable {
	var list []external.Unreadable
	for _, e := range entries {
		if e.Unreadable != nil {
			list = append(list, external.Unreadable{Key: e.ID, Err: e.Unreadable})
		}
	}
	return list
}

// logUnreadable logs the records of a feed that were skipped.
func (g *Gateway) logUnreadable(feed string, list []external.Unreadable) {
	for _, u := range list[:min(len(list), maxUnreadableLogged)] {
		key := fmt.Sprintf("%.*q", maxLoggedKeyBytes, u.Key)
		g.log.Warn().Str("feed", feed).Str("key", key).Str("error", fmt.Sprintf("%.*s", maxLoggedErrorBytes, u.Err)).
			Int("skipped", len(list)).Msg("record skipped")
	}
}
