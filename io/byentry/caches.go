package byentry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"burdockyard"
	"burdockyard/core/byfleet"
	"burdockyard/io/byforward"
	"burdockyard/io/bylog"
)

const (
	// engineCheckInterval is the interval at which a starting node checks whether it
	// knows any engines.
	engineCheckInterval = 50 * time.Millisecond
	// maxCacheQueries limits how many engines a starting node queries. Each query
	// takes up time of the engine, and all nodes may start at once.
	maxCacheQueries = 24
	// maxConcurrentCacheQueries limits how many engines are queried concurrently.
	maxConcurrentCacheQueries = 4
)

// queryCaches queries engines for the prompt parts in their caches, once after the
// start. A node that does not know the caches would have cached prompts prefilled
// again, on engines with other prompts in their queues.
func (n *Node) queryCaches(ctx context.Context) error {
	for n.routes.Current() == nil || n.fleet.Len() == 0 {
		sleep(ctx, engineCheckInterval)
		if ctx.Err() != nil {
			return nil
		}
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentCacheQueries)
	for _, e := range n.enginesToQuery() {
		group.Go(func() error {
			n.queryCache(ctx, e)
			return nil
		})
	}
	return group.Wait()
}

// enginesToQuery returns up to maxCacheQueries engines: first the prefill engines,
// then the others of this failure domain, then the rest. Each group is in random
// order, so that nodes that start at the same time query different engines of a
// large fleet.
func (n *Node) enginesToQuery() []byfleet.Endpoint {
	var prefillEngines, sameDomain, otherDomain []byfleet.Endpoint
	for _, s := range n.routes.Current().Services() {
		if s.Model == nil {
			continue
		}
		for _, e := range n.fleet.Usable(s.Name) {
			switch {
			case e.Role == burdockyard.RolePrefill:
				prefillEngines = append(prefillEngines, e)
			case e.Domain == n.settings.Domain:
				sameDomain = append(sameDomain, e)
			default:
				otherDomain = append(otherDomain, e)
			}
		}
	}
	for _, group := range [][]byfleet.Endpoint{prefillEngines, sameDomain, otherDomain} {
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	all := append(append(prefillEngines, sameDomain...), otherDomain...)
	return all[:min(len(all), maxCacheQueries)]
}

// queryCache queries one engine for the prompt parts in its cache. An engine that
// responds with a status other than 200 is skipped.
func (n *Node) queryCache(ctx context.Context, e byfleet.Endpoint) {
	req := &byforward.Request{}
	req.Method, req.Path, req.Header = n.platform.Engines.CacheCall(e.ID)
	status, body, err := n.callControl(ctx, e, req)
	if err == nil && status != http.StatusOK {
		return
	}
	var parts []burdockyard.PromptPart
	if err == nil {
		parts, err = n.platform.Engines.DecodeCache(body)
	}
	if err != nil {
		n.log.fleet.Debug("could not query the cache of an engine", bylog.Str("endpoint", string(e.ID)), bylog.Err(err))
		return
	}
	n.log.fleet.Info("engine told what it keeps", bylog.Str("endpoint", string(e.ID)), bylog.Int("parts", n.loadTracker.RecordCachedParts(e.ID, parts)))
}

// logPrefillRates logs the prefill rates that have changed.
func (n *Node) logPrefillRates() {
	for _, r := range n.loadTracker.NewRates() {
		n.log.fleet.Info("prefill rates learned", bylog.Str("service", r.Service), bylog.Str("role", string(r.Role)), bylog.Str("version", r.Version),
			bylog.Float("tokens_per_ms", r.TokensPerMS), bylog.Float("ms_per_million_pairs", r.MSPerMillionPairs), bylog.Int("prefills", r.Prefills))
	}
}
