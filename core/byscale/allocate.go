package byscale

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"burdockyard"
)

// allocation is the input of allocate.
type allocation struct {
	spec    *burdockyard.ScalingSpec
	need    int            // endpoints that have to remain after the worst loss of spot endpoints
	lasting int            // lasting endpoints among them
	spotCap map[string]int // largest number of spot endpoints, for domains where none can be added
}

// domains returns the failure domains with a price, in a fixed order.
func domains(spec *burdockyard.ScalingSpec) []string {
	return slices.Sorted(maps.Keys(spec.DomainPrices))
}

// allocate divides endpoints among the failure domains and kinds. Cheap domains get more
// lasting endpoints; spot endpoints are spread evenly, as the domain with the most of them
// decides how many are kept for its loss.
func allocate(a allocation) map[Pool]int {
	counts := map[Pool]int{}
	inDomain := func(domain string) int { return counts[Pool{domain, false}] + counts[Pool{domain, true}] }
	// cheapest returns the domain in which one more endpoint of a kind costs least, if
	// each counts as much as those there together.
	cheapest := func(spot bool, accepts func(domain string) bool) (string, bool) {
		best, bestCost := "", 0.0
		for _, domain := range domains(a.spec) {
			if inDomain(domain) >= a.spec.Max || !accepts(domain) {
				continue
			}
			if cost := a.spec.DomainPrices[domain] * float64(counts[Pool{domain, spot}]+1); best == "" || cost < bestCost {
				best, bestCost = domain, cost
			}
		}
		return best, best != ""
	}
	add := func(spot bool, accepts func(domain string) bool) bool {
		domain, ok := cheapest(spot, accepts)
		if ok {
			counts[Pool{domain, spot}]++
		}
		return ok
	}
	anywhere := func(string) bool { return true }
	hasSpot := func(domain string) bool {
		limit, limited := a.spotCap[domain]
		return !limited || counts[Pool{domain, true}] < limit
	}
	for range a.lasting {
		if !add(false, anywhere) {
			break
		}
	}
	if a.paysSpot() {
		for remaining(counts) < a.need {
			if !add(true, hasSpot) || worstLoss(counts) > a.need {
				break
			}
		}
		trimWorst(counts)
	}
	for total(counts) < a.need {
		if !add(false, anywhere) {
			break
		}
	}
	for _, domain := range domains(a.spec) {
		for inDomain(domain) < a.spec.Min {
			spot := a.paysSpot() && hasSpot(domain)
			counts[Pool{domain, spot}]++
		}
	}
	return counts
}

// paysSpot reports whether spot endpoints cost less than lasting ones, together with
// those that are kept for a loss of them.
func (a allocation) paysSpot() bool {
	n := float64(len(a.spec.DomainPrices))
	return a.spec.SpotPrice > 0 && n > 1 && a.spec.SpotPrice*n/(n-1) < 1
}

func total(counts map[Pool]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// worstLoss returns the largest number of spot endpoints in one failure domain.
func worstLoss(counts map[Pool]int) int {
	worst := 0
	for pool, n := range counts {
		if pool.Spot {
			worst = max(worst, n)
		}
	}
	return worst
}

// trimWorst removes the spot endpoints that one domain has more than any other. After the
// worst loss, no more remain with them than without.
func trimWorst(counts map[Pool]int) {
	var worst Pool
	second := 0
	for _, pool := range slices.SortedFunc(maps.Keys(counts), comparePools) {
		switch {
		case !pool.Spot:
		case counts[pool] > counts[worst]:
			second, worst = counts[worst], pool
		default:
			second = max(second, counts[pool])
		}
	}
	if worst.Spot {
		counts[worst] = second
	}
}

// comparePools orders pools by domain, lasting ones first.
func comparePools(a, b Pool) int {
	return cmp.Or(cmp.Compare(a.Domain, b.Domain), strings.Compare(a.Kind(), b.Kind()))
}

// remaining returns the number of endpoints after the worst loss.
func remaining(counts map[Pool]int) int { return total(counts) - worstLoss(counts) }
