package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"burdockyard/io/bycall"
	"burdockyard/io/byemu"
	"burdockyard/io/byproc"
	"burdockyard/io/bywire"
)

// The numbers of calls of each kind, and the tokens of one model answer. Each
// booking is sent twice.
const (
	streamCount  = 12
	lookupCount  = 6
	bookingCount = 6
	answerTokens = 150
)

// callResult is the result of one call, printed as a line of the report.
type callResult struct {
	caller, call, outcome string
	// key is the idempotency key of a booking, empty for other calls.
	key     string
	ok      bool
	resumes int
	took    time.Duration
}

// demoCall is a call that the demo makes, and the name of its caller.
type demoCall struct {
	caller string
	run    func(ctx context.Context, d *byproc.Deployment) callResult
}

// demoCalls returns all calls of the demo. They go to the first model and the
// first service of the manifest.
func demoCalls(d *byproc.Deployment) []demoCall {
	model := d.Spec.Models[0].Name
	service := d.Spec.Services[0].Name
	var calls []demoCall
	for i := range streamCount {
		prompt := fmt.Sprintf("Survey %d: moss on the north slope, slate, 40 degrees.", i)
		calls = append(calls, demoCall{caller: fmt.Sprintf("stream-%d", i+1), run: streamCall(model, prompt)})
	}
	for range lookupCount {
		calls = append(calls, demoCall{caller: "lookup", run: lookupCall(service)})
	}
	for i := range bookingCount {
		key := fmt.Sprintf("roof-%d", i+1)
		// Two callers send the same key, as after a double click or from two phones of
		// one crew.
		calls = append(calls, demoCall{caller: "booking-a", run: bookingCall(service, key)},
			demoCall{caller: "booking-b", run: bookingCall(service, key)})
	}
	return calls
}

// streamCall returns a call that streams an answer and compares it with the text
// that the emulated engine generates for the prompt.
func streamCall(model, prompt string) func(context.Context, *byproc.Deployment) callResult {
	return func(ctx context.Context, d *byproc.Deployment) callResult {
		result, err := bycall.New(d.CallerAddrs()).Complete(ctx, bycall.CompletionRequest{Model: model, Prompt: prompt, MaxTokens: answerTokens}, nil)
		r := callResult{caller: "stream", call: "completion", resumes: result.Resumes, took: result.TotalLatency}
		switch {
		case err != nil:
			r.outcome = err.Error()
		case result.Text != byemu.GenerateText(prompt, answerTokens):
			r.outcome = "another answer than the engine's own"
		default:
			r.ok = true
			r.outcome = fmt.Sprintf("%d tokens, whole", result.Tokens)
		}
		return r
	}
}

// lookupCall returns a read-only call of the service.
func lookupCall(service string) func(context.Context, *byproc.Deployment) callResult {
	return func(ctx context.Context, d *byproc.Deployment) callResult {
		startedAt := time.Now()
		resp, err := bycall.New(d.CallerAddrs()).CallService(ctx, bycall.ServiceCall{Service: service, Method: "GET", Path: "/slots"})
		r := callResult{caller: "lookup", call: "GET /slots", took: time.Since(startedAt)}
		if err != nil {
			r.outcome = err.Error()
			return r
		}
		r.ok = resp.Status == http.StatusOK
		r.outcome = fmt.Sprintf("%d", resp.Status)
		return r
	}
}

// bookingCall returns a booking that must take effect at most once for its key.
func bookingCall(service, key string) func(context.Context, *byproc.Deployment) callResult {
	return func(ctx context.Context, d *byproc.Deployment) callResult {
		startedAt := time.Now()
		resp, err := bycall.New(d.CallerAddrs()).CallService(ctx, bycall.ServiceCall{
			Service: service, Method: "POST", Path: "/dispatch", IdempotencyKey: key, Body: []byte(`{"roof":"` + key + `"}`),
		})
		r := callResult{caller: "booking", call: "POST /dispatch " + key, key: key, took: time.Since(startedAt)}
		if err != nil {
			r.outcome = err.Error()
			return r
		}
		var booking struct {
			Reference int `json:"reference"`
		}
		r.ok = json.Unmarshal(resp.Body, &booking) == nil && booking.Reference > 0
		r.outcome = fmt.Sprintf("reference %d", booking.Reference)
		return r
	}
}

// checkEffects asks the service's endpoints how often each booking ran. It returns
// how many ran more than once and how many were confirmed but never ran.
func checkEffects(ctx context.Context, d *byproc.Deployment, results []callResult) (repeated, missing int, err error) {
	effects := map[string]int{}
	for _, svc := range d.Spec.Services {
		for _, e := range svc.Endpoints {
			if err := addEffects(ctx, e.Address, effects); err != nil {
				return 0, 0, err
			}
		}
	}
	confirmed := map[string]bool{}
	for _, r := range results {
		if r.key != "" && r.ok {
			confirmed[r.key] = true
		}
	}
	for key, n := range effects {
		if n > 1 {
			fmt.Printf("demo: %s ran %d times\n", key, n)
			repeated++
		}
	}
	for key := range confirmed {
		if effects[key] == 0 {
			fmt.Printf("demo: %s was confirmed and never ran\n", key)
			missing++
		}
	}
	return repeated, missing, nil
}

// addEffects adds the runs of each booking at one endpoint to effects.
func addEffects(ctx context.Context, addr string, effects map[string]int) error {
	counts, err := bywire.GetJSON[map[string]int](ctx, "http://"+addr+"/admin/effects")
	for key, n := range counts {
		effects[key] += n
	}
	return err
}
