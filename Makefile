# Each target is one command that CONTRIBUTING.md explains.
FUZZTIME ?= 10s
SOAKTIME ?= 1h

.PHONY: build test lint fuzz soak capacity generate ci

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

# Runs the random tests for SOAKTIME; a failure prints the seed that replays it.
soak:
	FIRLEVER_SOAK=$(SOAKTIME) go test -count=1 -timeout 0 -run '^TestSoak' ./...

# Runs the benchmarks that docs/CAPACITY.md works its figures out from.
capacity:
	go test -run '^$$' -bench '^BenchmarkCapacity' -benchmem ./...

# Writes the generated code again; it is committed, so that a build needs no generator.
generate:
	go generate ./...

ci:
	.ci/run
