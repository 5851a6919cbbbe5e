# Commands of the README. `make demo` runs the main job, `make test` the tests.
BIN := bin
export GOFLAGS := -buildvcs=false

.PHONY: build check demo explore generate soak spin test

build:
	mkdir -p $(BIN)
	go build -o $(BIN)/ ./cmd/...

check:
	@unformatted=$$(gofmt -l api bench cmd internal platform spec test); \
	if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

generate:
	go generate ./...

# Installs the model checker where it is missing (Debian's package).
spin:
	@command -v spin >/dev/null || { apt-get update && apt-get install -y spin; }

# Tests with generated cases get a fixed seed, so that the verdict is the same
# each time; `make explore` draws new cases. Tests that are known to fail are
# listed in KNOWN-RED.txt (one per line: test or test/row, then a colon, command and seed,
# what was seen, issue) and skipped: a row alone where the line names one.
GENERATED := $(shell go list -f '{{join .TestImports " "}} {{join .XTestImports " "}} {{.ImportPath}}' ./... | grep pgregory.net/rapid | awk '{print $$NF}')
SOAK := $(shell go list ./test/soak)
MEMORY := $(shell go list ./test/memory)
OTHERS := $(filter-out $(GENERATED) $(SOAK) $(MEMORY),$(shell go list ./...))
KNOWN_RED := $(shell test -f KNOWN-RED.txt && sed 's/[:, ].*//; s,/,$$/^,g; s,.*,^&$$,' KNOWN-RED.txt | paste -sd'|')
GO_TEST := go test -race -count=1 -timeout 15m $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')

# The race detector crashes when two processors run timers of one testing/synctest bubble
# (DEVELOPERS.md): the packages whose tests it has crashed in have one processor each. They are
# tested with all processors, too, without the race detector.
ONE_PROCESSOR := $(shell go list ./internal/peers)
ifneq ($(filter aarch64 arm64,$(shell uname -m)),)
ONE_PROCESSOR += $(shell go list ./internal/catalog)
endif

# $(call test_one_processor,PACKAGES,FLAGS) tests the packages, if there are any.
define test_one_processor
$(if $(1),$(GO_TEST) -cpu 1 $(1) $(2))
$(if $(1),$(subst -race ,,$(GO_TEST)) $(1) $(2))
endef

# $(call test,PACKAGES,FLAGS) tests the packages.
define test
$(call test_one_processor,$(filter $(ONE_PROCESSOR),$(1)),$(2))
$(GO_TEST) $(filter-out $(ONE_PROCESSOR),$(1)) $(2)
endef

test: spin
	@if test -f KNOWN-RED.txt; then echo "passed over:"; cat KNOWN-RED.txt; fi
	$(call test,$(GENERATED),-rapid.seed=1)
	$(call test,$(OTHERS))
	$(GO_TEST) $(SOAK) -run $(SHORT_SOAK) -seed 1 -soak 20s
	$(GO_TEST) $(MEMORY)

# What the tests play of the soak: two minutes with a fixed seed.
SHORT_SOAK := '^(TestSoak|TestSoakWithARestoredStore|TestSoakWithRestartedServers|TestRestoredStoreCostsNothing|TestCrashingRequestIsQuarantined|TestCrashingRequests|TestUnrelatedCrashes)$$'

# The fault soak by hand: the seeds that ever failed, all rows of the tables, then a long
# run with a fresh seed.
soak:
	$(GO_TEST) -v $(SOAK) -run 'TestSeedsThatFailed|TestRestoredSeedsThatFailed'
	$(GO_TEST) -v $(SOAK) -run 'TestCrashingRequests|TestUnrelatedCrashes|TestRestoredStoreCostsNothing' -ending-full
	$(GO_TEST) -v $(SOAK) -run 'TestSoak$$|TestSoakWithARestoredStore$$|TestSoakWithRestartedServers$$' -soak 3m -seed 0

explore:
	$(call test,$(GENERATED))

demo: build
	$(BIN)/driftlab demo
	$(BIN)/driftlab router
