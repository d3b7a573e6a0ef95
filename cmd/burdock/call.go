package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"burdockyard/io/bycall"
)

// callCommand sends one request to a model or a service, as a client would.
type callCommand struct {
	Nodes    []string      `long:"node" required:"true" description:"host:port of a node to ask for addresses; may be given several times"`
	Tenant   string        `long:"tenant" description:"tenant of the call"`
	Class    string        `long:"class" description:"class of the call"`
	Domain   string        `long:"domain" description:"failure domain to prefer"`
	Model    string        `long:"model" description:"ask this model; the argument is the prompt"`
	Tokens   int           `long:"max-tokens" default:"64" description:"length of the answer"`
	Service  string        `long:"service" description:"call this service; the argument is the body"`
	Method   string        `long:"method" default:"GET" description:"method of the service call"`
	Path     string        `long:"path" default:"/" description:"path of the service call"`
	Key      string        `long:"key" description:"idempotency key of the service call"`
	Deadline time.Duration `long:"deadline" default:"1m" description:"how long to wait for the whole answer"`
	JSON     bool          `long:"json" description:"print JSON"`
	Args     struct {
		Text string `positional-arg-name:"TEXT"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *callCommand) Execute([]string) error {
	if (c.Model == "") == (c.Service == "") {
		return fmt.Errorf("%w: give either --model or --service", errUsage)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline)
	defer cancel()
	client := bycall.New(c.Nodes, bycall.WithTenant(c.Tenant), bycall.WithClass(c.Class), bycall.WithDomain(c.Domain))
	if c.Model != "" {
		return c.complete(ctx, client)
	}
	return c.service(ctx, client)
}

// complete sends the prompt to the model and prints the answer as it arrives, or
// as one JSON object with --json.
func (c *callCommand) complete(ctx context.Context, client *bycall.Client) error {
	show := func(text string) { fmt.Print(text) }
	if c.JSON {
		show = nil
	}
	req := bycall.CompletionRequest{Model: c.Model, Prompt: c.Args.Text, MaxTokens: c.Tokens, Deadline: c.Deadline}
	result, err := client.Complete(ctx, req, show)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(completionReply{
			Text: result.Text, Tokens: result.Tokens, Resumed: result.Resumes,
			FirstTokenMs: result.FirstTokenLatency.Milliseconds(), WholeMs: result.TotalLatency.Milliseconds(),
		})
	}
	fmt.Println()
	return nil
}

// completionReply is the JSON output of a model call.
type completionReply struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	// Resumed counts the interruptions after which the stream was resumed.
	Resumed      int   `json:"resumed"`
	FirstTokenMs int64 `json:"first_token_ms"`
	WholeMs      int64 `json:"whole_ms"`
}

// serviceReply is the JSON output of a service call.
type serviceReply struct {
	Status int    `json:"status"`
	Body   string `json:"body"`
}

// service sends the request to the service and prints the response body. Without
// --json, a status of 400 or above is returned as an error.
func (c *callCommand) service(ctx context.Context, client *bycall.Client) error {
	resp, err := client.CallService(ctx, bycall.ServiceCall{
		Service: c.Service, Method: c.Method, Path: c.Path, IdempotencyKey: c.Key, Body: []byte(c.Args.Text),
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(serviceReply{Status: resp.Status, Body: string(resp.Body)})
	}
	fmt.Printf("%s\n", resp.Body)
	if resp.Status >= 400 {
		return fmt.Errorf("the service answered with status %d, expected a status below 400", resp.Status)
	}
	return nil
}
