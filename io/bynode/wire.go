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

// parts names how each part of a node is made; wire puts them together.
var parts = wire.NewSet(
	newSelf, newClock, newPlatform, newTable, newObjects, newEndpoints, newRootLog, newLogs,
	bypeer.NewClients, bymetrics.New, bymanifest.NewFollower, bymember.New,
	newDesk, newServer, newGate, newNode,
)

// Build returns a node that writes its log to w.
func Build(s byconfig.Settings, w io.Writer) (*Node, error) {
	wire.Build(parts)
	return nil, nil
}
