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
	// cachesPoll is how often a starting node looks whether it knows engines.
	cachesPoll = 50 * time.Millisecond
	// cachesAsked bounds the engines that a starting node asks, since each answer
	// takes an engine's time and all nodes may start at once.
	cachesAsked = 24
	// cachesWorkers is how many are asked at a time.
	cachesWorkers = 4
)

// learnCaches asks engines what they keep, once after the start. A node that knows
// nothing of it lets prompts be read again, by engines that have others waiting.
func (n *Node) learnCaches(ctx context.Context) error {
	for n.routes.Current() == nil || n.fleet.Len() == 0 {
		sleep(ctx, cachesPoll)
		if ctx.Err() != nil {
			return nil
		}
	}
	var group errgroup.Group
	group.SetLimit(cachesWorkers)
	for _, e := range n.enginesToAsk() {
		group.Go(func() error {
			n.learnCache(ctx, e)
			return nil
		})
	}
	return group.Wait()
}

// enginesToAsk returns those that read prompts first, then those near by. Each
// group is in a random order, so that nodes which start together do not all ask the
// same engines of a large fleet.
func (n *Node) enginesToAsk() []byfleet.Endpoint {
	var readers, near, far []byfleet.Endpoint
	for _, s := range n.routes.Current().Services() {
		if s.Model == nil {
			continue
		}
		for _, e := range n.fleet.Usable(s.Name) {
			switch {
			case e.Role == burdockyard.RolePrefill:
				readers = append(readers, e)
			case e.Domain == n.settings.Domain:
				near = append(near, e)
			default:
				far = append(far, e)
			}
		}
	}
	for _, group := range [][]byfleet.Endpoint{readers, near, far} {
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	all := append(append(readers, near...), far...)
	return all[:min(len(all), cachesAsked)]
}

func (n *Node) learnCache(ctx context.Context, e byfleet.Endpoint) {
	req := &byforward.Request{}
	req.Method, req.Path, req.Header = n.platform.Engines.CacheCall(e.ID)
	status, body, err := n.control(ctx, e, req)
	if err == nil && status != http.StatusOK {
		return
	}
	var parts []burdockyard.PromptPart
	if err == nil {
		parts, err = n.platform.Engines.DecodeCache(body)
	}
	if err != nil {
		n.log.fleet.Debug("engine did not tell what it keeps", bylog.Str("endpoint", string(e.ID)), bylog.Err(err))
		return
	}
	n.log.fleet.Info("engine told what it keeps", bylog.Str("endpoint", string(e.ID)), bylog.Int("parts", n.ledger.NoteKept(e.ID, parts)))
}
