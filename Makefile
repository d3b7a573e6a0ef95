# Every chore of the project.

GO       ?= go
BIN      := bin
GOFILES  := $(shell git ls-files '*.go' | grep -vE '(\.pb|\.twirp|wire_gen)\.go$$')

.PHONY: build test check demo soak bench journal faults capacity generate clean

build: ## both programs, into bin/
	$(GO) build -o $(BIN)/ ./cmd/...

check: ## format, vet and linter
	@fmt=$$(gofmt -l $(GOFILES)); test -z "$$fmt" || { echo "gofmt would change:"; echo "$$fmt"; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# The environment variable SKIP is a pattern of the tests to pass over; CI takes it from
# KNOWN-RED.txt.
test: check ## everything that CI runs
	$(GO) test -race -count=1 -skip "$$SKIP" ./...  # never from the cache: some tests run the built programs

demo: build ## a whole deployment on loopback, with a node lost and an engine drained
	$(BIN)/burdock-demo --bin $(BIN) --manifest examples/demo.yaml

	$(BIN)/burdock-soak --bin $(BIN)/burdock --nodes 3 --callers 6 --length 1s

soak: build ## entry nodes on the users' protocol under seeded faults, ten fresh seeds
	$(BIN)/burdock-soak --bin $(BIN)/burdock --seed $$(date +%s) --seeds 10

bench: build ## the policy in virtual time, then the node's overhead, written to docs/EXPERIMENTS.md
	$(BIN)/burdock-lab policy --page docs/EXPERIMENTS.md
	$(BIN)/burdock-lab ablation --page docs/EXPERIMENTS.md
	$(GO) test -run xxx -bench . -benchtime 2s ./io/bynode ./core/byserve

journal: ## the scores of the users' bench, from journal/ to docs/EXPERIMENTS.md
	$(GO) run ./cmd/burdock-lab journal --page docs/EXPERIMENTS.md

capacity: build ## the slopes behind docs/CAPACITY.md
	$(BIN)/burdock-lab capacity --page docs/CAPACITY.md

faults: ## the whole fault matrix, written to docs/FAULTS.md
	BURDOCK_FAULTS=full $(GO) test -count=1 -timeout 30m -run 'TestFaultMatrix|TestMutants|TestRegainControl' ./core/byproof
	@sed -n '/^| fault/,/^faults:/p' docs/FAULTS.md

generate: ## protobuf, twirp and wire; needs protoc
	mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
	PATH="$(CURDIR)/$(BIN):$$PATH" protoc --go_out=. --go_opt=module=burdockyard \
		--twirp_out=. --twirp_opt=module=burdockyard io/bypeer/bypeerpb/peer.proto
	$(GO) tool wire ./io/bynode

clean:
	rm -rf $(BIN)
