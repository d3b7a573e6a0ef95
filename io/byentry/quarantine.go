package byentry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockyard/core/byfleet"
	"burdockyard/core/byquarantine"
	"burdockyard/core/bysuspect"
	"burdockyard/core/bywitness"
	"burdockyard/io/bylog"
)

// minAnswerTime is the time for which an answer must go on after its first event until
// it counts as begun. An engine that crashes on a prompt may do so right after the first
// event.
const minAnswerTime = 100 * time.Millisecond

// maxKeys is the largest number of keys of one request. Callers could otherwise fill the
// datagrams in which nodes tell each other of ends.
const maxKeys = 32

// requestKeys returns the keys of the request for the quarantine: the parts of its prompt
// that other prompts may share or, without a prompt, its host and path; and the request
// itself, which its caller may repeat. The last one is the key of the request.
func (c *call) requestKeys() []byquarantine.Key {
	own := byquarantine.RequestKey(requestHash(c))
	if c.info.Prompt == nil {
		path, _, _ := strings.Cut(c.path, "?")
		return []byquarantine.Key{byquarantine.PathKey(xxhash.Sum64String(c.r.Host + path)), own}
	}
	parts := sharedParts(c.info.Prompt)
	parts = parts[:min(len(parts), maxKeys-1)]
	keys := make([]byquarantine.Key, 0, len(parts)+1)
	for _, id := range parts {
		keys = append(keys, byquarantine.PartKey(id))
	}
	return append(keys, own)
}

// passQuarantine reports whether the request may be sent to endpoints. Otherwise it
// refuses the request.
func (c *call) passQuarantine() bool {
	n := c.node
	c.keys = c.requestKeys()
	d := n.quarantine.Admit(c.keys)
	n.applyQuarantineChange(d.Change, string(n.self.Node))
	if d.Trial {
		c.trial = true
		c.log("trial of a quarantined input", bylog.Str("keys", formatKeys(c.keys)))
		n.peers.sendSoon()
	}
	if d.Claim != 0 {
		c.onlySend = true
		if err := n.records.claimTrial(c.r.Context(), d.Claim); err != nil {
			c.log("no trial, as it could not be claimed", bylog.Err(err))
			d = byquarantine.Decision{Wait: n.quarantine.TimeToTrial(c.keys)}
		}
	}
	if !d.Admitted {
		c.refuseFor(reasonQuarantined, d.Wait)
	}
	return d.Admitted
}

// isQuarantined reports whether the request must not be sent to a further endpoint,
// because one of its keys has been quarantined since it was admitted.
func (c *call) isQuarantined() bool {
	if !c.trial && c.node.quarantine.IsQuarantined(c.keys) {
		c.quarantined = true
	}
	return c.quarantined
}

// recordEndpointEnd records that endpoint e has ended under this request before the answer
// had begun, or is suspected to have. An end that the endpoint has announced says nothing
// about the request.
func (c *call) recordEndpointEnd(e byfleet.Endpoint, proof endProof) {
	c.trial = false
	if len(c.keys) == 0 || !c.node.fleet.AcceptsWork(e.ID) {
		return
	}
	process := bysuspect.ProcessOf(e.Instance)
	end := byquarantine.End{Request: xxhash.Sum64String(string(c.info.ID)), Keys: c.keys, Endpoint: process.Hash()}
	if proof.suspected {
		c.node.addSuspicion(bysuspect.Suspicion{Process: process, Refused: c.node.refusedOthers(proof.own), End: end})
		return
	}
	c.node.applyQuarantineChange(c.node.quarantine.RecordEnd(end), string(c.node.self.Node))
}

// recordAnswer records that the answer to this request has begun and goes on.
func (c *call) recordAnswer() {
	if len(c.keys) > 0 {
		c.node.applyQuarantineChange(c.node.quarantine.RecordAnswer(c.keys), string(c.node.self.Node))
	}
}

// recordUnframedAnswer records the answer to this request if its endpoint e has survived it. An
// answer that ends with its connection, and has come to that end, looks the same if the endpoint
// has ended under it. So a new connection must be accepted, which is opened only if the answer
// makes a difference.
func (c *call) recordUnframedAnswer(ctx context.Context, e byfleet.Endpoint) {
	n := c.node
	if !n.quarantine.NeedsAnswer(c.keys) && !n.suspects.IsSuspected(c.keys) {
		return
	}
	_ = http.NewResponseController(c.w).Flush() // the caller does not wait for the connection
	if n.connect(ctx, e) == bywitness.Accepted && !n.fleet.IsReplaced(e) {
		c.recordAnswer()
	}
}

// quarantineFields returns the log fields that tell why the request is refused: the verdict
// on one of its keys, whose word it is and what may speak against it.
func (c *call) quarantineFields() []bylog.Field {
	r, ok := c.node.quarantine.Explain(c.keys)
	if !ok {
		if ends := c.node.quarantine.SuspectedEnds(c.keys); ends > 0 {
			return []bylog.Field{bylog.Str("key", formatKeys(c.keys[len(c.keys)-1:])), bylog.Str("key_kind", "request"), bylog.Int("suspected_ends", ends)}
		}
		return nil // the key has become free since
	}
	fields := []bylog.Field{
		bylog.Str("key", formatKeys([]byquarantine.Key{r.Key})), bylog.Str("key_kind", r.Key.Kind()), bylog.Int("ends", r.Ends),
		bylog.Millis("end_age_ms", r.EndAge), bylog.Str("verdict_from", string(r.Source)), bylog.Millis("verdict_age_ms", r.Age),
	}
	if r.TrialAge >= 0 {
		fields = append(fields, bylog.Millis("trial_age_ms", r.TrialAge))
	}
	if r.AnswerAge >= 0 {
		fields = append(fields, bylog.Millis("answer_age_ms", r.AnswerAge))
	}
	if r.Companions != nil {
		fields = append(fields, bylog.Str("companions", formatKeys(r.Companions)))
	}
	return fields
}

// applyQuarantineChange logs a change of the quarantine, and tells the peers of it if
// they must learn of it without delay.
func (n *Node) applyQuarantineChange(c byquarantine.Change, toldBy string) {
	if len(c.Quarantined) > 0 {
		n.log.fleet.Warn("input quarantined, as endpoints end under it", bylog.Str("keys", formatKeys(c.Quarantined)), bylog.Str("told_by", toldBy))
	}
	if len(c.Released) > 0 {
		n.log.fleet.Info("input is free again", bylog.Str("keys", formatKeys(c.Released)), bylog.Str("told_by", toldBy))
	}
	if c.News {
		n.peers.sendSoon()
	}
	if c.Unsaved {
		n.records.saveSoon()
	}
}

// formatKeys returns keys as text for the log.
func formatKeys(keys []byquarantine.Key) string {
	var ids []string
	for _, key := range keys {
		ids = append(ids, strconv.FormatUint(uint64(key), 16))
	}
	return strings.Join(ids, ",")
}
