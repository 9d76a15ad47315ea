package quota

import "github.com/turmericworks/turmericworks/internal/coordination/rendezvous"

// maxHolders is how many instances hold shares of a workspace's rate. With fewer, the loss of one instance removes more
// of the rate until the others notice. With more, a share is small compared with one request, and the debts that the
// shares may run up add together.
const maxHolders = 8

// Holders returns the instances that hold equal shares of a workspace's rate: all instances if there are at most
// maxHolders. Requests that callers send to other instances are charged to one of the holders.
func Holders(workspace string, instances []rendezvous.Member) []string {
	return rendezvous.Pick(workspace, instances, maxHolders)
}
