// Package byusage counts the requests of each workspace that begin in each window of true
// time, and merges the counts of all nodes into one report for each window.
package byusage

// Window is what one process has counted in one window. Its counts only rise.
type Window struct {
	Number int64            // windows since the start of 1970
	Begun  map[string]int64 // number of requests that began, by workspace
}

// Ack tells a node that its counts of a window are stored, or that the window has been
// reported and no count can be added.
type Ack struct {
	Window   int64
	Reported bool
}
