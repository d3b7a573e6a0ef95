// Package byscale decides how many endpoints of each kind a service needs in each failure
// domain.
//
// # Usage
//
//	m := byscale.NewMeter(clock, spec.BootTime)
//	m.Record(member, demand)                      // for each report of a node
//	p := byscale.New(clock, "quote-llm") // one for each time that the duty is held
//	for _, d := range p.Decide(state) {           // twice a second, by the holder of the duty
//		err := api.Scale(ctx, authority, d.Order)
//		p.RecordOutcome(d, spec.BootTime, err)
//	}
//
// # What is ordered
//
// An endpoint that is ordered serves only after its boot time. The decision therefore
// follows the largest load of the last few boot times, not the load of the moment: bursts
// that come by turns, of long prompts and of short ones, are over before endpoints that
// were ordered for one of them serve.
//
// All spot endpoints of a failure domain may be reclaimed at once. The endpoints that
// remain after the worst such loss have to suffice. Lasting endpoints by themselves carry
// half of the mean load, so that the loss of all spot endpoints leaves a service that works.
//
// # Orders
//
// An order names a count, not a difference, and may be repeated. A new holder starts from
// the endpoints that it sees. While it does not know the load yet, it keeps as much
// capacity as there is.
package byscale

import (
	"math"
	"time"

	"github.com/ansel1/merry/v2"

	"burdockyard"
)

// Demand is the work that callers have asked of the endpoints of a service, as one process
// has counted it since its start. Its counts only rise.
type Demand struct {
	Service      string
	Requests     int64
	PromptTokens int64
	CachedTokens int64 // part of PromptTokens that needed no prefill
	OutputTokens int64
	PrefillTime  time.Duration // predicted engine time for prefill
	DecodeTime   time.Duration // predicted engine time for decode
}

// Pool is the endpoints of one kind in one failure domain. Each pool has a count of its
// own.
type Pool struct {
	Domain string
	Spot   bool
}

// Kind returns the name of the pool's kind in logs and metrics.
func (p Pool) Kind() string {
	if p.Spot {
		return "spot"
	}
	return "lasting"
}

// Endpoint is what the decision needs to know of an endpoint.
type Endpoint struct {
	Pool
	Role    burdockyard.Role // empty if the service serves no model
	Leaving bool             // whether it drains
	Usable  bool             // whether it may get work
}

// Work is engine time per second of time.
type Work struct {
	Prefill, Decode float64
}

// Forecast is the load that endpoints are ordered for.
type Forecast struct {
	Peak  Work // largest load of the last few boot times
	Mean  Work // mean load over the same time
	Known bool // whether the load has been observed for that long
}

// State is what is known when endpoints are ordered.
type State struct {
	Spec      *burdockyard.ScalingSpec
	Endpoints []Endpoint
	Forecast  Forecast
	InFlight  float64 // endpoints whose slots the open requests fill
}

// Sentinel errors of Check.
var (
	ErrSpec        = merry.Sentinel("scaling of the service cannot be followed")
	ErrNoEndpoints = merry.Sentinel("service has no endpoints")
	ErrTooMany     = merry.Sentinel("more endpoints than the limit of the failure domain")
)

// Check returns an error if nothing can be ordered from s. ErrTooMany is only a warning:
// orders go on.
func Check(s State) error {
	spec := s.Spec
	switch {
	case spec.Min < 0 || spec.Max < 1 || spec.Min > spec.Max:
		return merry.Prependf(ErrSpec, "limits of %d to %d endpoints", spec.Min, spec.Max)
	case spec.BootTime <= 0:
		return merry.Prependf(ErrSpec, "boot time of %v", spec.BootTime)
	case !(spec.SpotPrice >= 0) || math.IsInf(spec.SpotPrice, 0):
		return merry.Prependf(ErrSpec, "spot price of %v", spec.SpotPrice)
	case len(spec.DomainPrices) == 0:
		return merry.Prependf(ErrSpec, "no price of any failure domain")
	}
	for _, domain := range domains(spec) {
		if price := spec.DomainPrices[domain]; !(price > 0) || math.IsInf(price, 0) {
			return merry.Prependf(ErrSpec, "price of %v in failure domain %q", price, domain)
		}
	}
	present := map[string]int{}
	for _, e := range s.Endpoints {
		if _, ok := spec.DomainPrices[e.Domain]; !ok {
			return merry.Prependf(ErrSpec, "no price of failure domain %q", e.Domain)
		}
		if !e.Leaving {
			present[e.Domain]++
		}
	}
	if len(present) == 0 {
		return merry.Wrap(ErrNoEndpoints)
	}
	for _, domain := range domains(spec) {
		if present[domain] > spec.Max {
			return merry.Prependf(ErrTooMany, "%d endpoints in failure domain %q, limit %d", present[domain], domain, spec.Max)
		}
	}
	return nil
}
