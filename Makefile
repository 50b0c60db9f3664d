# The commands of the README. CI calls check and test.
GO ?= go
BIN := bin
# Names of the users' platform, which only platform/ may know.
PLATFORM_WORDS := X-Rushramp-|op/config|rows-(tx|get|feed|parts)|blob-(put|get)|heartbeat-addr|path-prefix|weighted-clusters|RUSHRAMP_CONFIG

.PHONY: run test check build generate

run: build
	$(BIN)/rushramp-bench run examples/schriftverbund.yaml examples/chartservices.yaml --duration 5s

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# The tests of platform run processes up to the limits of their memory, so they run by themselves.
GO_TEST := $(GO) test $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')
test:
	$(GO_TEST) $$($(GO) list ./... | grep -v '/platform$$')
	$(GO_TEST) -timeout 30m ./platform

check:
	@test -z "$$(gofmt -l cmd pkg platform test tools)" || { echo "gofmt: run 'gofmt -w cmd pkg platform test tools' on:"; gofmt -l cmd pkg platform test tools; exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) run ./tools/gendocs -check
	@! git grep -nIE "$(PLATFORM_WORDS)" -- '*.go' ':!platform' || { echo "the platform's names belong in platform/: move the lines above there"; exit 1; }

# Pages and the code of the operators' schema.
generate:
	$(GO) run ./tools/gendocs
	$(GO) run ./tools/genproto
