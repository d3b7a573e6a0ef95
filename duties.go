package burdockyard

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// Duty is work towards the platform that one node at a time does.
type Duty string

// The duties.
const (
	DutyUsage Duty = "usage" // reports how many requests of each workspace began in each window
	DutyScale Duty = "scale" // orders endpoints
)

// Authority accompanies each call that belongs to a duty. The platform may compare the
// fencing numbers of successive calls.
type Authority struct {
	Holder NodeID
	Fence  uint64 // rises with each change of the holder
}

// ScaleOrder orders a number of endpoints of one kind in one failure domain.
type ScaleOrder struct {
	Service string
	Domain  string
	Spot    bool
	Count   int
}

// Sentinel errors of a PlatformAPI. Any other error means that the outcome is unknown: the
// call may have been executed, or may still be.
var (
	// ErrCallRefused means that the platform has seen a higher fencing number, or cannot
	// carry out the order at the moment. It has not executed the call.
	ErrCallRefused = merry.Sentinel("call refused by the platform")
)

// PlatformAPI is the part of the platform that is called by the holders of duties. A call
// that returns ErrUnavailable has had no effect.
type PlatformAPI interface {
	// ReportUsage reports how many requests of each workspace began in a window of true
	// time. Windows are counted from the start of 1970.
	ReportUsage(ctx context.Context, a Authority, window int64, counts map[string]int64) error
	// Scale orders endpoints.
	Scale(ctx context.Context, a Authority, o ScaleOrder) error
}
