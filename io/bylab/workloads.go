package bylab

import (
	"math/rand/v2"
	"time"

	"burdockyard/core/byroute"
)

// callShape is the mean size of a kind of call, in tokens.
type callShape struct{ prompt, output int }

var (
	question   = callShape{300, 80}     // short prompt, short answer
	readHeavy  = callShape{3000, 60}    // larger prompt, such as a history, and short answer
	writeHeavy = callShape{400, 500}    // short prompt, long answer
	longPlan   = callShape{40_000, 400} // a whole yard plan or survey history
)

// call returns a call of a random tenant with sizes around the shape. The prompt
// begins with a shared document with probability repeatedDocumentShare, and with
// a document of its own otherwise.
func (d Deployment) call(rnd *rand.Rand, at time.Duration, sh callShape) *Call {
	c := &Call{
		ArrivalTime: at, Tenant: d.Tenants[rnd.IntN(len(d.Tenants))], Class: d.Short,
		PromptTokens: randomSize(rnd, sh.prompt), OutputTokens: randomSize(rnd, sh.output),
	}
	if c.PromptTokens > byroute.LongPromptTokens {
		c.Class = d.Long
	}
	document := rnd.Uint64()
	if rnd.Float64() < repeatedDocumentShare {
		document = uint64(rnd.IntN(documentCount))
	}
	c.setDocument(document)
	return c
}

// setDocument sets the prefix hashes as if the prompt were the start of a document.
func (c *Call) setDocument(document uint64) {
	c.PrefixHashes = nil
	for i := range c.PromptTokens / byroute.PrefixBlockTokens {
		c.PrefixHashes = append(c.PrefixHashes, document<<8|uint64(i))
	}
}

const (
	// repeatedDocumentShare is the share of prompts that begin with a shared document.
	repeatedDocumentShare = 0.3
	// documentCount is the number of shared documents.
	documentCount = 40
)

// randomSize returns a uniformly distributed size between 0.5 and 1.5 times n, and
// at least 1.
func randomSize(rnd *rand.Rand, n int) int {
	return max(1, int(float64(n)*(0.5+rnd.Float64())))
}

// addPoissonArrivals calls add for each arrival of a Poisson process between from
// and to. The rate is in arrivals per second.
func addPoissonArrivals(rnd *rand.Rand, from, to time.Duration, rate float64, add func(at time.Duration)) {
	for at := from; ; {
		at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		add(at)
	}
}

// ShiftingMix returns a workload whose call shape changes every minute. The arrival
// rate is load times the capacity for the current shape.
func ShiftingMix(d Deployment, load float64) Workload {
	const period = time.Minute
	return Workload{Name: "shifts", Calls: func(rnd *rand.Rand) []*Call {
		var calls []*Call
		for i := range 6 {
			sh := []callShape{readHeavy, writeHeavy, question}[i%3]
			rate := load * d.Capacity(sh.prompt, sh.output)
			addPoissonArrivals(rnd, time.Duration(i)*period, time.Duration(i+1)*period, rate, func(at time.Duration) {
				calls = append(calls, d.call(rnd, at, sh))
			})
		}
		return calls
	}}
}

// Steady returns a workload of short questions at load times the capacity.
func Steady(d Deployment, load float64, span time.Duration) Workload {
	return Workload{Name: "steady", Calls: func(rnd *rand.Rand) []*Call {
		var calls []*Call
		addPoissonArrivals(rnd, 0, span, load*d.Capacity(question.prompt, question.output), func(at time.Duration) {
			calls = append(calls, d.call(rnd, at, question))
		})
		return calls
	}}
}

// Burst returns a workload of short questions at 0.2 times the capacity, with a
// burst within one second of as many more as the engines serve in ten seconds.
func Burst(d Deployment) Workload {
	const burstAt, burstSeconds = 20 * time.Second, 10.0
	return Workload{Name: "burst", Calls: func(rnd *rand.Rand) []*Call {
		var calls []*Call
		add := func(at time.Duration) { calls = append(calls, d.call(rnd, at, question)) }
		rate := d.Capacity(question.prompt, question.output)
		addPoissonArrivals(rnd, 0, burstAt+40*time.Second, 0.2*rate, add)
		for range int(rate * burstSeconds) {
			add(burstAt + time.Duration(rnd.Int64N(int64(time.Second))))
		}
		return calls
	}}
}

// Mixed returns a workload of short questions and long plans. load is the total
// as a multiple of the capacity, and longShare the part of it that long plans
// make up, which may be 0.
func Mixed(d Deployment, load, longShare float64) Workload {
	const span = 3 * time.Minute
	return Workload{Name: "mixed", Calls: func(rnd *rand.Rand) []*Call {
		var calls []*Call
		short := load * (1 - longShare) * d.Capacity(question.prompt, question.output)
		long := load * longShare * d.Capacity(longPlan.prompt, longPlan.output)
		addPoissonArrivals(rnd, 0, span, short, func(at time.Duration) { calls = append(calls, d.call(rnd, at, question)) })
		if long > 0 {
			addPoissonArrivals(rnd, 0, span, long, func(at time.Duration) { calls = append(calls, d.call(rnd, at, longPlan)) })
		}
		return calls
	}}
}

// TenantFlood returns a workload in which the first tenant sends three times the
// capacity and each of the others a tenth of it.
func TenantFlood(d Deployment) Workload {
	return Workload{Name: "flood", Calls: func(rnd *rand.Rand) []*Call {
		var calls []*Call
		rate := d.Capacity(question.prompt, question.output)
		for i, t := range d.Tenants {
			share := 0.1
			if i == 0 {
				share = 3
			}
			addPoissonArrivals(rnd, 0, time.Minute, share*rate, func(at time.Duration) {
				c := d.call(rnd, at, question)
				c.Tenant = t
				calls = append(calls, c)
			})
		}
		return calls
	}}
}

// RepeatedPrompts returns a workload of long plans at 0.7 times the capacity. A prompt
// begins with a shared document with probability 0.8, and if not, still with
// probability repeatedDocumentShare.
func RepeatedPrompts(d Deployment) Workload {
	return Workload{Name: "reread", Calls: func(rnd *rand.Rand) []*Call {
		var calls []*Call
		addPoissonArrivals(rnd, 0, 3*time.Minute, 0.7*d.Capacity(longPlan.prompt, longPlan.output), func(at time.Duration) {
			c := d.call(rnd, at, longPlan)
			if rnd.Float64() < 0.8 {
				c.setDocument(uint64(rnd.IntN(documentCount)))
			}
			calls = append(calls, c)
		})
		return calls
	}}
}

// WithFault returns a workload of short questions at half the capacity, with a fault.
func WithFault(d Deployment, f Fault) Workload {
	w := Steady(d, 0.5, time.Minute)
	w.Name = "broken"
	w.Fault = f
	return w
}

// Straggler returns a workload of short questions at half the capacity, in which
// some engines are five times as slow for one minute.
func Straggler(d Deployment, engines int) Workload {
	w := Steady(d, 0.5, 2*time.Minute)
	w.Name = "straggler"
	w.Slowdown = Slowdown{From: 30 * time.Second, To: 90 * time.Second, EngineCount: engines, Factor: 5}
	return w
}
