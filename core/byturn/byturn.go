// Package byturn decides when a node reads a table of the store, and when it asks its peers for
// what they have of it. All times are fractions of the bound within which a change must be in
// force on every node, so that they fit any bound.
//
// # Usage
//
//	share := maxAgeShare + byturn.RankShare(rank) // age of the copy at which a node of a rank reads
//	share := byturn.LagShare(rank, nodes)         // time for which peers are ahead of it until it reads
//
//	asking := byturn.BeginAsking()
//	for asking.Goes(storeFails, isBehind) {
//		… asking.Record(news) …
//		… wait for asking.Wait() …
//	}
package byturn

const (
	// secondRankShare is what the second node of a failure domain waits longer than the first one.
	secondRankShare = 0.15
	// perRankShare is added for each rank after that of the second node.
	perRankShare = 0.025
	// maxRankShare limits the sum. The rest of the time is left for a slow store and for requests
	// that are already being sent.
	maxRankShare = 0.3
	// lagShare is the time for which peers go by a newer version until the first node of a
	// failure domain reads the changes. The others follow by turns.
	lagShare = 0.05
	// lackShare is the time for which peers go by a newer version until a node takes it that its
	// copy lacks a change. All nodes of the failure domain have had their turn to read the changes
	// by then.
	lackShare = 0.4
	// askShare is the time that a node leaves the readers of its failure domain to relay what its
	// peers go by. Up to as much again spreads the questions.
	askShare = 0.05
	// minAskShare and maxAskShare are the shortest and the longest time between two questions. It
	// doubles while they bring nothing: then the store serves nobody, and all nodes ask.
	minAskShare = 0.1
	maxAskShare = 0.4
	// maxLagAsks limits the questions about a newer version that no peer answers, as after a
	// restore of the store that has lost it.
	maxLagAsks = 8
)

// RankShare returns what a node of a given rank waits longer than the first node of its failure
// domain until it reads the store. Ranks count from 0.
func RankShare(rank int) float64 {
	if rank == 0 {
		return 0
	}
	return min(secondRankShare+float64(rank-1)*perRankShare, maxRankShare)
}

// LagShare returns how long a node of a given rank among the nodes of its failure domain goes on
// after peers have gone by a newer version, until it reads the changes.
func LagShare(rank, nodes int) float64 { return lagShare + turnShare(rank, nodes) }

// LackShare returns how long such a node goes on until it reads the whole table. It asks its peers
// for the whole from LackShare of the first node on.
func LackShare(rank, nodes int) float64 { return lackShare + turnShare(rank, nodes) }

// turnShare gives each node of a failure domain a turn of its own: if all read a large table at
// once, none would get it in time.
func turnShare(rank, nodes int) float64 {
	if rank == 0 {
		return 0
	}
	return secondRankShare + (maxRankShare-secondRankShare)*float64(rank-1)/float64(max(nodes-1, rank))
}

// AskShare returns how long a node goes on after peers have gone by a newer version, until it asks
// one of them. draw is a random number in [0, 1).
func AskShare(draw float64) float64 { return askShare * (1 + draw) }

// Asking is a series of questions to peers, until the store serves the node again and no peer is
// ahead of it.
type Asking struct {
	wait  float64
	asked int
}

// BeginAsking returns an Asking before its first question.
func BeginAsking() Asking { return Asking{wait: minAskShare} }

// Goes reports whether the series goes on.
func (a *Asking) Goes(storeFails, isBehind bool) bool {
	return storeFails || isBehind && a.asked < maxLagAsks
}

// Record records a question, and whether it brought news or none was needed.
func (a *Asking) Record(news bool) {
	a.asked++
	if a.wait = min(2*a.wait, maxAskShare); news {
		a.wait = minAskShare
	}
}

// Wait returns the time until the next question.
func (a *Asking) Wait() float64 { return a.wait }
