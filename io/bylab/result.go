package bylab

import (
	"math"
	"slices"
	"time"
)

// Result holds the calls of one run and computes figures from them.
type Result struct {
	Deployment     Deployment
	Workload       Workload
	calls          []*Call
	slowDetectedAt time.Duration
	slowRestoredAt time.Duration
}

// Calls returns the number of calls.
func (r *Result) Calls() int { return len(r.calls) }

// InTimeShare returns the share of calls that were answered in time, at any try.
func (r *Result) InTimeShare() float64 { return r.share((*Call).InTime) }

// FirstTryShare returns the share of calls that were answered in time at the first
// try.
func (r *Result) FirstTryShare() float64 {
	return r.share(func(c *Call) bool { return c.InTime() && c.refusals == 0 })
}

// FirstRetryShare returns, of the calls that were refused, the share that was
// answered in time at the first retry.
func (r *Result) FirstRetryShare() float64 {
	refused, served := 0, 0
	for _, c := range r.calls {
		if c.refusals > 0 {
			refused++
		}
		if c.refusals == 1 && c.InTime() {
			served++
		}
	}
	return float64(served) / float64(max(refused, 1))
}

// OtherTenantsShare returns the share of the calls of all tenants but the first that
// were answered in time at the first try. It is NaN if there is only one tenant.
func (r *Result) OtherTenantsShare() float64 {
	n, served := 0, 0
	for _, c := range r.calls {
		if c.Tenant.Name == r.Deployment.Tenants[0].Name {
			continue
		}
		n++
		if c.InTime() && c.refusals == 0 {
			served++
		}
	}
	if n == 0 {
		return math.NaN()
	}
	return float64(served) / float64(n)
}

// FirstTryShareBetween returns, of the calls that arrived in [from, to), the share
// that was answered in time at the first try.
func (r *Result) FirstTryShareBetween(from, to time.Duration) float64 {
	n, served := 0, 0
	for _, c := range r.calls {
		if c.ArrivalTime < from || c.ArrivalTime >= to {
			continue
		}
		n++
		if c.InTime() && c.refusals == 0 {
			served++
		}
	}
	return float64(served) / float64(max(n, 1))
}

func (r *Result) share(good func(*Call) bool) float64 {
	n := 0
	for _, c := range r.calls {
		if good(c) {
			n++
		}
	}
	return float64(n) / float64(max(len(r.calls), 1))
}

// Goodput returns the prompt and output tokens of the calls answered in time, as
// a share of those of all calls.
func (r *Result) Goodput() float64 {
	good, all := 0, 0
	for _, c := range r.calls {
		all += c.PromptTokens + c.OutputTokens
		if c.InTime() {
			good += c.PromptTokens + c.OutputTokens
		}
	}
	return float64(good) / float64(max(all, 1))
}

// GoodTokensPerSecond returns the output tokens per second over a span from the
// start of the run, of the calls that were answered in time and within the span.
func (r *Result) GoodTokensPerSecond(span time.Duration) float64 {
	good := 0
	for _, c := range r.calls {
		if c.InTime() && c.finishedAt <= span {
			good += c.OutputTokens
		}
	}
	return float64(good) / span.Seconds()
}

// WastedShare returns the output tokens of the complete answers that were not in
// time, as a share of those of all complete answers.
func (r *Result) WastedShare() float64 {
	late, made := 0, 0
	for _, c := range r.calls {
		if c.finishedAt == 0 {
			continue
		}
		made += c.OutputTokens
		if !c.InTime() {
			late += c.OutputTokens
		}
	}
	return float64(late) / float64(max(made, 1))
}

// TimeToFirstToken returns quantile q of the time to the first token of the short
// calls that arrived in [from, to), counted from the try that was served.
func (r *Result) TimeToFirstToken(q float64, from, to time.Duration) time.Duration {
	var all []time.Duration
	for _, c := range r.calls {
		if c.firstTokenAt > 0 && c.Class.Name == r.Deployment.Short.Name && c.ArrivalTime >= from && c.ArrivalTime < to {
			all = append(all, c.firstTokenAt-c.tryStartedAt)
		}
	}
	return quantile(all, q)
}

// TokenGap returns quantile q of the time between consecutive tokens of the short
// calls that arrived in [from, to).
func (r *Result) TokenGap(q float64, from, to time.Duration) time.Duration {
	var all []time.Duration
	for _, c := range r.calls {
		if c.Class.Name == r.Deployment.Short.Name && c.ArrivalTime >= from && c.ArrivalTime < to {
			all = append(all, c.tokenGaps...)
		}
	}
	return quantile(all, q)
}

// LongCallLatency returns quantile q of the time from the first arrival of a long
// call to its complete answer, and the share of the long calls that were answered.
func (r *Result) LongCallLatency(q float64) (time.Duration, float64) {
	var all []time.Duration
	n := 0
	for _, c := range r.calls {
		if c.Class.Name != r.Deployment.Long.Name {
			continue
		}
		n++
		if c.finishedAt > 0 {
			all = append(all, c.finishedAt-c.ArrivalTime)
		}
	}
	return quantile(all, q), float64(len(all)) / float64(max(n, 1))
}

// DetectionDelay returns the seconds from the start of the slowdown until a node first
// reduced the weight of an engine. It is negative if that came before the
// slowdown, and NaN if it never came.
func (r *Result) DetectionDelay() float64 {
	return secondsSince(r.slowDetectedAt, r.Workload.Slowdown.From)
}

// RecoveryDelay returns the seconds from the end of the slowdown until the last engine
// had its weight restored. It is NaN if no weight was ever reduced.
func (r *Result) RecoveryDelay() float64 {
	return secondsSince(r.slowRestoredAt, r.Workload.Slowdown.To)
}

// secondsSince returns the seconds between two times, or NaN if at is 0.
func secondsSince(at, from time.Duration) float64 {
	if at == 0 {
		return math.NaN()
	}
	return (at - from).Seconds()
}

// quantile returns quantile q, or 0 of an empty slice. It sorts the slice in place.
func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}
