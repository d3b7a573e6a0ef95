package byscale_test

import (
	"errors"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"burdockyard"
	"burdockyard/core/byscale"
)

const tick = 500 * time.Millisecond

func newSpec() *burdockyard.ScalingSpec {
	return &burdockyard.ScalingSpec{
		Min: 1, Max: 40, BootTime: 4 * time.Second, SpotPrice: 0.2,
		DomainPrices: map[string]float64{"a": 0.8, "b": 1.2, "c": 1, "d": 1.1},
	}
}

// fakePlatform executes orders as a platform does: endpoints that are ordered boot, those
// that are ordered away are gone at once.
type fakePlatform struct {
	spec     *burdockyard.ScalingSpec
	bootedAt map[byscale.Pool][]time.Time
	noSpot   map[string]bool
	orders   int
	lowered  int
	// beyondMax counts orders with which a domain would have more than Max endpoints.
	beyondMax int
}

func newFakePlatform(spec *burdockyard.ScalingSpec, lasting int) *fakePlatform {
	p := &fakePlatform{spec: spec, bootedAt: map[byscale.Pool][]time.Time{}, noSpot: map[string]bool{}}
	for domain := range spec.DomainPrices {
		p.set(byscale.Pool{Domain: domain}, lasting, time.Now())
	}
	return p
}

func (p *fakePlatform) set(pool byscale.Pool, n int, bootedAt time.Time) {
	for len(p.bootedAt[pool]) < n {
		p.bootedAt[pool] = append(p.bootedAt[pool], bootedAt)
	}
	p.bootedAt[pool] = p.bootedAt[pool][:n]
}

func (p *fakePlatform) scale(o burdockyard.ScaleOrder) error {
	pool := byscale.Pool{Domain: o.Domain, Spot: o.Spot}
	p.orders++
	if o.Spot && p.noSpot[o.Domain] && o.Count > len(p.bootedAt[pool]) {
		return burdockyard.ErrCallRefused
	}
	if o.Count < len(p.bootedAt[pool]) {
		p.lowered++
	}
	if other := len(p.bootedAt[byscale.Pool{Domain: o.Domain, Spot: !o.Spot}]); o.Count+other > p.spec.Max && o.Count > len(p.bootedAt[pool]) {
		p.beyondMax++
	}
	p.set(pool, o.Count, time.Now().Add(p.spec.BootTime))
	return nil
}

// endpoints returns the endpoints that have booted; every third one is a prefill engine.
func (p *fakePlatform) endpoints() []byscale.Endpoint {
	var out []byscale.Endpoint
	for pool, booted := range p.bootedAt {
		for _, at := range booted {
			e := byscale.Endpoint{Pool: pool, Role: burdockyard.RoleDecode, Usable: true}
			if len(out)%3 == 0 {
				e.Role = burdockyard.RolePrefill
			}
			if !time.Now().Before(at) {
				out = append(out, e)
			}
		}
	}
	return out
}

func (p *fakePlatform) count(spot bool) int {
	n := 0
	for _, e := range p.endpoints() {
		if e.Spot == spot {
			n++
		}
	}
	return n
}

// run lets a holder decide twice a second for the given time. load returns the engine time
// per second that callers ask for.
type run struct {
	platform  *fakePlatform
	meter     *byscale.Meter
	planner   *byscale.Planner
	demand    byscale.Demand
	elapsed   time.Duration
	load      func(at time.Duration) byscale.Work
	err       error // of every order, if set; the order is not executed
	fewestNow int   // smallest number of endpoints since the last call of play
}

func newRun(lasting int, load func(time.Duration) byscale.Work) *run {
	spec := newSpec()
	return &run{
		platform: newFakePlatform(spec, lasting), load: load,
		meter: byscale.NewMeter(burdockyard.SystemClock{}, spec.BootTime), planner: byscale.New(burdockyard.SystemClock{}, "llm"),
	}
}

func (r *run) play(d time.Duration) {
	r.fewestNow = math.MaxInt
	for range int(d / tick) {
		time.Sleep(tick)
		w := r.load(r.elapsed)
		r.elapsed += tick
		r.demand.PrefillTime += time.Duration(w.Prefill * float64(tick))
		r.demand.DecodeTime += time.Duration(w.Decode * float64(tick))
		r.meter.Record(burdockyard.Member{Node: "n1"}, r.demand)
		state := byscale.State{Spec: r.platform.spec, Endpoints: r.platform.endpoints(), Forecast: r.meter.Forecast()}
		r.fewestNow = min(r.fewestNow, len(state.Endpoints))
		for _, decision := range r.planner.Decide(state) {
			err := r.err
			if err == nil {
				err = r.platform.scale(decision.Order)
			}
			r.planner.RecordOutcome(decision, r.platform.spec.BootTime, err)
		}
	}
}

func steady(prefill, decode float64) func(time.Duration) byscale.Work {
	return func(time.Duration) byscale.Work { return byscale.Work{Prefill: prefill, Decode: decode} }
}

// alternating returns a load of long prompts and short ones by turns.
func alternating(turn time.Duration) func(time.Duration) byscale.Work {
	return func(at time.Duration) byscale.Work {
		if at/turn%2 == 0 {
			return byscale.Work{Prefill: 6, Decode: 4}
		}
		return byscale.Work{Prefill: 2, Decode: 14}
	}
}

func wave(at time.Duration) byscale.Work {
	level := 1 + 0.3*math.Sin(2*math.Pi*at.Seconds()/13)
	return byscale.Work{Prefill: 4 * level, Decode: 8 * level}
}

// TestLoads checks for each load how many endpoints there are once it has lasted: enough
// for the crests after the loss of a domain's spot endpoints, and no more than twice that.
func TestLoads(t *testing.T) {
	for _, c := range []struct {
		name       string
		load       func(time.Duration) byscale.Work
		need       int // at the crests, with a third of the engines for prefill
		maxLowered int // orders that lower a count, after the first minute
	}{
		{"quiet load", steady(0.5, 1), 6, 0},
		{"steady load", steady(4, 8), 20, 0},
		{"bursts of long and short prompts by turns of 3 s", alternating(3 * time.Second), 35, 4},
		{"bursts of long and short prompts by turns of 1.5 s", alternating(1500 * time.Millisecond), 33, 4},
		{"a wave", wave, 25, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRun(20, c.load)
				r.play(time.Minute)
				r.platform.lowered = 0
				r.play(time.Minute)
				worst := 0
				for pool, booted := range r.platform.bootedAt {
					if pool.Spot {
						worst = max(worst, len(booted))
					}
				}
				all := r.platform.count(false) + r.platform.count(true)
				if r.fewestNow-worst < c.need-2 || all > 2*c.need+4 {
					t.Errorf("%d endpoints, at times %d, up to %d of them spot of one domain; want %d to remain", all, r.fewestNow, worst, c.need)
				}
				if lasting := r.platform.count(false); lasting > all/2 || lasting == 0 {
					t.Errorf("%d of %d endpoints are lasting, want some, and fewer than half", lasting, all)
				}
				if r.platform.lowered > c.maxLowered {
					t.Errorf("counts were lowered %d times in a minute, want at most %d", r.platform.lowered, c.maxLowered)
				}
			})
		})
	}
}

// TestLossOfSpot answers the reclaim of all spot endpoints of one domain, where no others
// are to be had for a while, under a steady load.
func TestLossOfSpot(t *testing.T) {
	for _, c := range []struct {
		name  string
		noWay []string // domains that refuse spot endpoints
	}{
		{"none to be had there", []string{"a"}},
		{"none to be had anywhere", []string{"a", "b", "c", "d"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRun(20, steady(4, 8))
				r.play(time.Minute)
				for _, domain := range c.noWay {
					r.platform.noSpot[domain] = true
				}
				r.platform.set(byscale.Pool{Domain: "a", Spot: true}, 0, time.Now())
				r.platform.orders = 0
				r.play(15 * time.Second)
				if r.fewestNow < 18 {
					t.Errorf("%d endpoints remained, want the 20 that the load needs", r.fewestNow)
				}
				if r.platform.orders > 40 {
					t.Errorf("%d orders in 15 s, want refused ones to be tried again slowly", r.platform.orders)
				}
				r.planner, r.platform.lowered = byscale.New(burdockyard.SystemClock{}, "llm"), 0
				r.play(15 * time.Second)
				if len(c.noWay) > 1 && r.platform.lowered > 0 {
					t.Errorf("a new holder lowered counts %d times, though no reserve could be had", r.platform.lowered)
				}
				clear(r.platform.noSpot)
				r.play(time.Minute)
				if n := len(r.platform.bootedAt[byscale.Pool{Domain: "a", Spot: true}]); n == 0 {
					t.Error("no spot endpoints were ordered again in the domain that has them back")
				}
			})
		})
	}
}

// TestUnknownLoadKeepsCapacity answers the start of a holder, at the start of the system or
// after another holder was lost in the midst of its orders: it knows no load yet.
func TestUnknownLoadKeepsCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRun(20, steady(0, 0))
		r.play(30 * time.Second)
		if r.fewestNow < 80 {
			t.Errorf("%d endpoints without any request yet, want at least the 80 of the start", r.fewestNow)
		}
		if n := r.platform.count(false); n > 40 {
			t.Errorf("%d lasting endpoints, want most replaced by spot ones", n)
		}
		if r.platform.beyondMax > 0 {
			t.Errorf("%d orders went beyond the limit of a domain", r.platform.beyondMax)
		}
		r.load = steady(4, 8)
		r.play(time.Minute)
		before := len(r.platform.endpoints())
		r.planner, r.meter = byscale.New(burdockyard.SystemClock{}, "llm"), byscale.NewMeter(burdockyard.SystemClock{}, r.platform.spec.BootTime)
		r.play(10 * time.Second)
		if r.fewestNow < before-4 {
			t.Errorf("%d endpoints after a change of the holder, want the %d of before", r.fewestNow, before)
		}
	})
}

// TestCountsDriftBack answers endpoints that crash for good and an old order that is
// executed after a newer one.
func TestCountsDriftBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRun(20, steady(4, 8))
		r.play(time.Minute)
		pool := byscale.Pool{Domain: "c", Spot: true}
		before := len(r.platform.bootedAt[pool])
		r.platform.set(pool, 1, time.Now())
		r.play(20 * time.Second)
		if got := len(r.platform.bootedAt[pool]); got < before {
			t.Errorf("%d endpoints of the pool, want %d again", got, before)
		}
	})
}

// TestOrderWithoutAnswer checks that an order without an answer is sent again, with the same
// count, although the load has ended meanwhile.
func TestOrderWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRun(2, steady(8, 16))
		r.err = errors.New("timeout")
		r.play(20 * time.Second)
		ordered, repeated := r.planner.Wanted(), 0
		for range 40 {
			time.Sleep(tick)
			for _, d := range r.planner.Decide(byscale.State{Spec: r.platform.spec, Endpoints: r.platform.endpoints(), Forecast: byscale.Forecast{Known: true}}) {
				if want := ordered[byscale.Pool{Domain: d.Order.Domain, Spot: d.Order.Spot}]; d.Order.Count < want {
					t.Fatalf("%+v ordered, want the %d endpoints of the order without an answer", d.Order, want)
				}
				r.planner.RecordOutcome(d, r.platform.spec.BootTime, r.err)
				repeated++
			}
		}
		if repeated < 40 {
			t.Errorf("%d orders in 20 s, want each sent again twice a second", repeated)
		}
	})
}

func TestCheck(t *testing.T) {
	endpoints := []byscale.Endpoint{{Pool: byscale.Pool{Domain: "a"}, Usable: true}}
	for _, c := range []struct {
		name      string
		change    func(*burdockyard.ScalingSpec)
		endpoints []byscale.Endpoint
		want      error
		text      string
	}{
		{"sound", func(*burdockyard.ScalingSpec) {}, endpoints, nil, ""},
		{"no spot endpoints", func(s *burdockyard.ScalingSpec) { s.SpotPrice = 0 }, endpoints, nil, ""},
		{"min above max", func(s *burdockyard.ScalingSpec) { s.Min = 50 }, endpoints, byscale.ErrSpec, "50 to 40"},
		{"no prices", func(s *burdockyard.ScalingSpec) { s.DomainPrices = nil }, endpoints, byscale.ErrSpec, "no price"},
		{"price of 0", func(s *burdockyard.ScalingSpec) { s.DomainPrices["b"] = 0 }, endpoints, byscale.ErrSpec, `"b"`},
		{"a domain without a price", func(s *burdockyard.ScalingSpec) { delete(s.DomainPrices, "a") }, endpoints, byscale.ErrSpec, `"a"`},
		{"no boot time", func(s *burdockyard.ScalingSpec) { s.BootTime = 0 }, endpoints, byscale.ErrSpec, "boot time"},
		{"no endpoints", func(*burdockyard.ScalingSpec) {}, nil, byscale.ErrNoEndpoints, "no endpoints"},
		{"more than the limit", func(s *burdockyard.ScalingSpec) { s.Min, s.Max = 0, 1 }, append(endpoints, endpoints...), byscale.ErrTooMany, "2 endpoints"},
	} {
		t.Run(c.name, func(t *testing.T) {
			spec := newSpec()
			c.change(spec)
			err := byscale.Check(byscale.State{Spec: spec, Endpoints: c.endpoints})
			if !errors.Is(err, c.want) || err != nil && !strings.Contains(err.Error(), c.text) {
				t.Errorf("got %v, want %v with %q", err, c.want, c.text)
			}
		})
	}
}
