// Package byscale decides how many endpoints of each kind a service needs in each failure
// domain.
package byscale

import "time"

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
