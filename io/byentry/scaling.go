package byentry

import (
	"burdockyard"
	"burdockyard/core/byscale"
)

// scaling will order endpoints.
type scaling struct{}

// demand returns the work that callers have asked of this node.
func (s *scaling) demand() []byscale.Demand { return nil }

// record records the work that callers have asked of a node.
func (s *scaling) record(burdockyard.Member, []byscale.Demand) {}
