//go:build wireinject

package bynode

import (
	"io"

	"github.com/google/wire"

	"burdockyard/core/bymanifest"
	"burdockyard/core/bymember"
	"burdockyard/io/byconfig"
	"burdockyard/io/bymetrics"
	"burdockyard/io/bypeer"
)

// providers lists the constructors from which wire builds a Node.
var providers = wire.NewSet(
	newSelf, newClock, newPlatform, newTable, newObjects, newEndpoints, newRootLog, newLoggers,
	bypeer.NewClients, bymetrics.New, bymanifest.NewFollower, bymember.New,
	newBookings, newServer, newDrainer, newNode,
)

// Build returns a node that writes its log to w.
func Build(s byconfig.Settings, w io.Writer) (*Node, error) {
	wire.Build(providers)
	return nil, nil
}
