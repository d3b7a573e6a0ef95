package byplace

import (
	"maps"
	"math"
	"time"

	"burdockyard"
	"burdockyard/core/byfleet"
)

// engineKind identifies engines that are expected to prefill at the same rates. The
// speed of a single engine is a multiple of these.
type engineKind struct {
	service string
	role    burdockyard.Role
	version string
}

func kindOf(e byfleet.Endpoint) engineKind {
	return engineKind{service: e.Service, role: e.Role, version: e.Version}
}

// prefillSize is the size of a prefill: the length of the prompt, and how many of its
// leading tokens were cached.
type prefillSize struct {
	total, cached int
}

// prefillTerms returns the two terms of the time that an engine of typical performance
// takes for a prefill, in milliseconds, without the fixed part: the one for the tokens
// and the one for the pairs of tokens.
func (s prefillSize) prefillTerms() (tokens, pairs float64) {
	uncached := float64(max(s.total-s.cached, 0))
	return uncached / typicalTokensPerMS, uncached * (float64(s.cached) + uncached/2) / 1e6 * msPerMillionPairs
}

// prefillRates relates the prefill times of one kind of engine to the typical ones, term
// by term.
type prefillRates struct {
	tokens, pairs float64
}

// typicalRates returns the rates of a kind of engine without measurements.
func typicalRates(role burdockyard.Role) prefillRates {
	if role == burdockyard.RolePrefill {
		return prefillRates{tokens: 1, pairs: 1}
	}
	return prefillRates{tokens: decodePrefillFactor, pairs: decodePrefillFactor}
}

// prefillTime returns how long an engine of the kind takes to prefill a prompt of total
// tokens, of which the first cached ones are in its cache.
func (r prefillRates) prefillTime(total, cached int) time.Duration {
	tokens, pairs := prefillSize{total, cached}.prefillTerms()
	setup := time.Duration(r.tokens * float64(prefillSetup))
	return setup + time.Duration((r.tokens*tokens+r.pairs*pairs)*float64(time.Millisecond))
}

// referencePrefills are the sizes at which two sets of rates are compared: long prompts
// whose beginning is cached, and ones that are not cached at all.
var referencePrefills = [...]prefillSize{{17_000, 13_300}, {17_000, 0}, {4_000, 0}, {40_000, 13_300}}

// relativeTo returns the prefill time at these rates relative to the one at other rates, at the
// first reference size.
func (r prefillRates) relativeTo(other prefillRates) float64 {
	s := referencePrefills[0]
	return float64(r.prefillTime(s.total, s.cached)) / float64(other.prefillTime(s.total, s.cached))
}

// differsFrom reports whether the prefill times at these rates differ clearly from those
// at other rates.
func (r prefillRates) differsFrom(other prefillRates) bool {
	for _, s := range referencePrefills {
		ratio := float64(r.prefillTime(s.total, s.cached)) / float64(other.prefillTime(s.total, s.cached))
		if math.Abs(math.Log(ratio)) > math.Log(1+minRateChange) {
			return true
		}
	}
	return false
}

const (
	// maxRateSamples is the number of latest prefills from which rates are estimated.
	maxRateSamples = 48
	// minRateSamples is the number of prefills from which rates are first estimated.
	minRateSamples = 4
	// refitInterval is the number of prefills between two estimates.
	refitInterval = 3
	// maxUnusedKinds is the number of kinds without engines that are kept, since engines of
	// other versions start with their rates.
	maxUnusedKinds = 32
	// minRateChange is the relative change of the prefill time from which new rates
	// replace the ones in use.
	minRateChange = 0.2
	// minRate and maxRate bound the estimated rates relative to the typical ones.
	minRate = 0.4
	maxRate = 8.0
	// fitRounds is the number of iterations of the regression.
	fitRounds = 8
)

// rateSample is a measured prefill of an engine that had little other work.
type rateSample struct {
	tokens, pairs float64 // typical terms, in milliseconds
	measured      float64 // measured time without waiting, in milliseconds
}

// kindRecord holds the prefill rates of one kind of engine and the measurements from
// which they are estimated.
type kindRecord struct {
	kind  engineKind
	rates prefillRates
	// typicalTimeFactor is the prefill time of an engine of the kind relative to the one of
	// an engine of typical performance. Loads are reported to peers as the tokens that the
	// latter prefills in the same time, as peers without rates of their own expect.
	typicalTimeFactor float64

	learned bool // whether the rates come from measurements of this kind
	samples []rateSample
	count   int // number of prefills measured so far

	changed bool // whether the rates changed since they were last returned by NewRates
}

func (k *kindRecord) setRates(rates prefillRates) {
	k.rates = rates
	k.typicalTimeFactor = rates.relativeTo(typicalRates(k.kind.role))
}

// isTypical reports whether the kind has the typical rates of its role.
func (k *kindRecord) isTypical() bool { return k.rates == typicalRates(k.kind.role) }

// record adds a measured prefill. It reports whether new rates are due.
func (k *kindRecord) record(size prefillSize, measured time.Duration) bool {
	sample := rateSample{measured: measured.Seconds() * 1e3}
	sample.tokens, sample.pairs = size.prefillTerms()
	if len(k.samples) < maxRateSamples {
		k.samples = append(k.samples, sample)
	} else {
		k.samples[k.count%maxRateSamples] = sample
	}
	k.count++
	return len(k.samples) >= minRateSamples && (k.count%refitInterval == 0 || !k.learned)
}

// fit estimates the rates from the samples by least absolute deviations, which single
// prefills delayed by a neighbor or by a wrong guess at the cache barely affect. The
// typical rates of the kind count like a few samples more, so that terms that the
// samples cannot tell apart keep their typical proportion. latency is the part of each
// measured time in which the engine does not prefill.
func (k *kindRecord) fit(latency time.Duration) prefillRates {
	typical := typicalRates(k.kind.role)
	const priorSize, tolerance, noise = 40.0, 0.1, 10.0 // sizes in milliseconds
	priorWeight := 1 / ((noise + tolerance*priorSize) * (noise + tolerance*priorSize))
	fixed := latency.Seconds() * 1e3
	for _, s := range k.samples {
		fixed = min(fixed, s.measured/2)
	}
	rates := typical
	for round := range fitRounds {
		var tt, tp, pp, ty, py float64 // weighted sums of the products of tokens, pairs and measured
		add := func(tokens, pairs, measured, weight float64) {
			tt += weight * tokens * tokens
			tp += weight * tokens * pairs
			pp += weight * pairs * pairs
			ty += weight * tokens * measured
			py += weight * pairs * measured
		}
		add(priorSize, 0, priorSize*typical.tokens, priorWeight)
		add(priorSize, -priorSize*typical.tokens/typical.pairs, 0, priorWeight)
		for _, s := range k.samples {
			measured := s.measured - fixed
			scale := noise + tolerance*measured
			weight := 1 / (scale * scale)
			if round > 0 {
				deviation := math.Abs(measured - rates.tokens*s.tokens - rates.pairs*s.pairs)
				weight = 1 / (scale * max(deviation, scale/20))
			}
			add(s.tokens, s.pairs, measured, weight)
		}
		determinant := tt*pp - tp*tp
		rates = prefillRates{tokens: (ty*pp - py*tp) / determinant, pairs: (py*tt - ty*tp) / determinant}
	}
	bound := func(rate, typical float64) float64 { return min(max(rate, minRate*typical), maxRate*typical) }
	return prefillRates{tokens: bound(rates.tokens, typical.tokens), pairs: bound(rates.pairs, typical.pairs)}
}

// kindRecordOf returns the record of a kind and creates it if needed. The caller must hold
// mu.
func (t *LoadTracker) kindRecordOf(kind engineKind) *kindRecord {
	k := t.kinds[kind]
	if k == nil {
		k = &kindRecord{kind: kind}
		k.setRates(t.inheritedRates(kind))
		t.kinds[kind] = k
	}
	return k
}

// inheritedRates returns the rates of a kind that has none of its own: those learned for
// another role or another version of the service, adjusted for the role. The caller must
// hold mu.
func (t *LoadTracker) inheritedRates(kind engineKind) prefillRates {
	own := typicalRates(kind.role)
	var best *kindRecord
	for other, k := range t.kinds {
		if other.service != kind.service || !k.learned {
			continue
		}
		if best == nil || other.closeness(kind) > best.kind.closeness(kind) || other.closeness(kind) == best.kind.closeness(kind) && other.version > best.kind.version {
			best = k
		}
	}
	if best == nil {
		return own
	}
	typical := typicalRates(best.kind.role)
	return prefillRates{tokens: best.rates.tokens / typical.tokens * own.tokens, pairs: best.rates.pairs / typical.pairs * own.pairs}
}

// closeness ranks kinds of the same service by how much they have in common.
func (k engineKind) closeness(other engineKind) int {
	n := 0
	if k.role == other.role {
		n += 2
	}
	if k.version == other.version {
		n++
	}
	return n
}

// learnRates adds a measured prefill to the kind of an engine, and replaces the rates of
// the kind if the measurements show others. A short prefill is not used, nor one that
// waited for long: its time says more about other work. The caller must hold mu.
func (t *LoadTracker) learnRates(k *kindRecord, w Work, measured time.Duration) {
	size := prefillSize{w.Tokens, w.CachedTokens}
	if k == nil || basePrefillTime(size.total, size.cached) < minMeasuredPrefill || w.Wait > w.PrefillTime/2 {
		return
	}
	if !k.record(size, measured-w.Wait) {
		return
	}
	if rates := k.fit(t.fixedLatency + prefillSetup); rates.differsFrom(k.rates) {
		t.adopt(k, rates)
	}
	if k.learned {
		return
	}
	k.learned = true
	for _, other := range t.kinds {
		if other.kind.service == k.kind.service && !other.learned {
			if rates := t.inheritedRates(other.kind); rates.differsFrom(other.rates) {
				t.adopt(other, rates)
			}
		}
	}
}

// adopt replaces the rates of a kind. The slowdowns measured so far were multiples of the
// former rates. The caller must hold mu.
func (t *LoadTracker) adopt(k *kindRecord, rates prefillRates) {
	ratio := rates.relativeTo(k.rates)
	k.setRates(rates)
	k.changed = true
	for _, rec := range t.records {
		if rec.kind == k && rec.slowdown != 1 {
			rec.slowdown = min(max(rec.slowdown/ratio, minSlowdown), maxSlowdown)
		}
	}
}

// removeUnusedKinds removes kinds without engines if there are many. The caller must hold
// mu.
func (t *LoadTracker) removeUnusedKinds() {
	if len(t.kinds) <= maxUnusedKinds {
		return
	}
	used := map[engineKind]bool{}
	for _, rec := range t.records {
		if rec.kind != nil {
			used[rec.kind.kind] = true
		}
	}
	maps.DeleteFunc(t.kinds, func(kind engineKind, _ *kindRecord) bool { return !used[kind] })
}

// KindRates are the prefill rates of one kind of engine.
type KindRates struct {
	Service           string
	Role              burdockyard.Role
	Version           string
	TokensPerMS       float64 // prompt tokens prefilled per millisecond
	MSPerMillionPairs float64 // attention time in milliseconds per million pairs of tokens
	Prefills          int     // number of prefills measured, zero if the rates come from another kind
}

// NewRates returns the rates of the kinds whose rates have changed since the last call.
func (t *LoadTracker) NewRates() []KindRates {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []KindRates
	for _, k := range t.kinds {
		if !k.changed {
			continue
		}
		k.changed = false
		changed = append(changed, KindRates{
			Service: k.kind.service, Role: k.kind.role, Version: k.kind.version, Prefills: k.count,
			TokensPerMS: typicalTokensPerMS / k.rates.tokens, MSPerMillionPairs: msPerMillionPairs * k.rates.pairs,
		})
	}
	return changed
}
