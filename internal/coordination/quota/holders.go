package quota

import "github.com/turmericworks/turmericworks/internal/coordination/rendezvous"

// maxHolders is how many instances hold parts of a workspace's rate. With fewer, the loss of one takes more of the rate
// until the others know; with more, a part is small beside one request, and the debts that the parts may be in add up.
const maxHolders = 8

// Holders returns the instances that hold equal parts of a workspace's rate: all if they are few. Callers' requests at
// other instances are charged to one of them.
func Holders(workspace string, instances []rendezvous.Member) []string {
	return rendezvous.Pick(workspace, instances, maxHolders)
}
