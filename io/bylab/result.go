package bylab

import (
	"math"
	"slices"
	"time"
)

// Result is what came of a run.
type Result struct {
	Deployment     Deployment
	Workload       Workload
	calls          []*Call
	slowDetectedAt time.Duration
	slowRestoredAt time.Duration
}

// Calls returns the number of calls.
func (r *Result) Calls() int { return len(r.calls) }

// Served returns the share of calls answered whole and in time, at whichever try.
func (r *Result) Served() float64 { return r.share((*Call).InTime) }

// ServedFirst returns the share of callers that were answered in time at once.
func (r *Result) ServedFirst() float64 {
	return r.share(func(c *Call) bool { return c.InTime() && c.refusals == 0 })
}

// ServedOnReturn returns, of the callers that were refused, the share that was
// answered in time when they first came back.
func (r *Result) ServedOnReturn() float64 {
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

// OthersServed returns the share of the calls of every tenant but the first that
// were answered in time at once.
func (r *Result) OthersServed() float64 {
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
		return math.NaN() // there is one tenant only
	}
	return float64(served) / float64(n)
}

// ServedBetween returns the share of the calls that arrived in a span and were
// answered in time at once.
func (r *Result) ServedBetween(from, to time.Duration) float64 {
	n, served := 0, 0
	for _, c := range r.calls {
		if c.At < from || c.At >= to {
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

// Goodput returns the tokens of answers in time, as a share of all the tokens
// that were asked for.
func (r *Result) Goodput() float64 {
	good, all := 0, 0
	for _, c := range r.calls {
		all += c.Prompt + c.Output
		if c.InTime() {
			good += c.Prompt + c.Output
		}
	}
	return float64(good) / float64(max(all, 1))
}

// GoodTokensPerSecond returns the output tokens of answers in time that were
// made within the span of arrivals, per second.
func (r *Result) GoodTokensPerSecond(span time.Duration) float64 {
	good := 0
	for _, c := range r.calls {
		if c.InTime() && c.finishedAt <= span {
			good += c.Output
		}
	}
	return float64(good) / span.Seconds()
}

// Wasted returns the output tokens of answers that came too late, as a share of
// all that were made.
func (r *Result) Wasted() float64 {
	late, made := 0, 0
	for _, c := range r.calls {
		if c.finishedAt == 0 {
			continue
		}
		made += c.Output
		if !c.InTime() {
			late += c.Output
		}
	}
	return float64(late) / float64(max(made, 1))
}

// FirstToken returns a quantile of the time to the first token of short calls
// that arrived in a span, counted from the try that was served.
func (r *Result) FirstToken(q float64, from, to time.Duration) time.Duration {
	var all []time.Duration
	for _, c := range r.calls {
		if c.firstTokenAt > 0 && c.Class.Name == r.Deployment.Short.Name && c.At >= from && c.At < to {
			all = append(all, c.firstTokenAt-c.tryStartedAt)
		}
	}
	return quantile(all, q)
}

// Gap returns a quantile of the time between two tokens of short calls that
// arrived in a span.
func (r *Result) Gap(q float64, from, to time.Duration) time.Duration {
	var all []time.Duration
	for _, c := range r.calls {
		if c.Class.Name == r.Deployment.Short.Name && c.At >= from && c.At < to {
			all = append(all, c.tokenGaps...)
		}
	}
	return quantile(all, q)
}

// LongWhole returns a quantile of the time to the whole answer of long calls,
// from their arrival, and the share of them that was answered.
func (r *Result) LongWhole(q float64) (time.Duration, float64) {
	var all []time.Duration
	n := 0
	for _, c := range r.calls {
		if c.Class.Name != r.Deployment.Long.Name {
			continue
		}
		n++
		if c.finishedAt > 0 {
			all = append(all, c.finishedAt-c.At)
		}
	}
	return quantile(all, q), float64(len(all)) / float64(max(n, 1))
}

// Noticed returns how long it took to weight a slow engine down; negative if one
// was before it was slow, and NaN if none ever was.
func (r *Result) Noticed() float64 { return secondsSince(r.slowDetectedAt, r.Workload.Slow.From) }

// Restored returns how long after the slow-down the last engine was restored.
func (r *Result) Restored() float64 { return secondsSince(r.slowRestoredAt, r.Workload.Slow.To) }

func secondsSince(at, from time.Duration) float64 {
	if at == 0 {
		return math.NaN()
	}
	return (at - from).Seconds()
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}
