package byfleet

// All returns all known endpoints of a service, ordered by ID. Those that are about to end
// are marked as draining.
func (f *Fleet) All(service string) []Endpoint {
	entries := f.entriesOf(service)
	f.mu.RLock()
	defer f.mu.RUnlock()
	all := make([]Endpoint, 0, len(entries))
	for _, e := range entries {
		if e.instance.Service != service {
			continue // it has changed since entriesOf has returned
		}
		ep := Endpoint{Instance: e.instance, FailRate: e.failRate}
		ep.Draining = ep.Draining || e.leaving
		all = append(all, ep)
	}
	return all
}
