# Each target is one command that CONTRIBUTING.md explains.
FUZZTIME ?= 10s
SOAKTIME ?= 1h

.PHONY: build test lint fuzz flood soak capacity generate ci

build:
	go build -o bin/firlever ./cmd/firlever

test:
	go test -race -count=1 ./...

lint:
	@test -z "$$(go tool gofumpt -l . | grep -v -E '\.(pb|twirp)\.go$$')" || { go tool gofumpt -l .; exit 1; }
	go vet ./...
	go tool revive -config revive.toml -set_exit_status -exclude '**/*.pb.go' -exclude '**/*.twirp.go' ./...

# Runs each fuzz target of each package for FUZZTIME.
fuzz:
	@set -e; for pkg in $$(go list ./...); do \
		for name in $$(go test -list '^Fuzz' $$pkg | grep '^Fuzz' || true); do \
			echo "$$pkg $$name"; \
			go test -run '^$$' -fuzz "^$$name\$$" -fuzztime $(FUZZTIME) $$pkg; \
		done; \
	done

# Runs the tests of hostile callers and peers, one at a time; nothing else should run beside them.
flood:
	FIRLEVER_FLOOD=1 go test -count=1 ./internal/flood

# Runs the random tests for SOAKTIME; a failure prints the seed that replays it.
soak:
	FIRLEVER_SOAK=$(SOAKTIME) go test -count=1 -timeout 0 -run '^TestSoak' ./...

# Runs the benchmarks of docs/CAPACITY.md, records them and writes its tables again.
# Short ones are timed; those of whole fleets and worlds run once each.
capacity: BENCH = go test -run '^$$' -count 3
capacity: TIMED = Tick|Step|Core|Block|Roster|HTTP|Handler|Note|Record|Advance|Build|Lookup|Update|MemberTick|Receive
capacity:
	( $(BENCH) -cpu 2 -benchtime 50ms -bench '^BenchmarkCapacity($(TIMED))' ./internal/... ./pkg/... && \
	$(BENCH) -cpu 2 -benchtime 1x -bench '^BenchmarkCapacity(Domain|World|Held)' ./internal/member && \
	$(BENCH) -cpu 4 -benchtime 1x -bench '^BenchmarkCapacity' ./internal/instance ) | \
	go run ./internal/capacity/report -write docs/capacity.json -page docs/CAPACITY.md

# Writes the generated code again; it is committed, so that a build needs no generator.
generate:
	go generate ./...

ci:
	.ci/run
