//go:build wireinject

package bynode

import (
	"io"

	"github.com/google/wire"

	"burdockyard/io/byconfig"
)

// Build returns a node that writes its log to w.
func Build(s byconfig.Settings, w io.Writer) (*Node, error) {
	wire.Build(parts)
	return nil, nil
}
