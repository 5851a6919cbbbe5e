# Commands of the README. `make demo` runs the main job, `make test` the tests.
BIN := bin
export GOFLAGS := -buildvcs=false

.PHONY: build check demo generate spin test

build:
	mkdir -p $(BIN)
	go build -o $(BIN)/ ./cmd/...

check:
	@unformatted=$$(gofmt -l api cmd internal spec test); \
	if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

generate:
	go generate ./...

# Installs the model checker where it is missing (Debian's package).
spin:
	@command -v spin >/dev/null || { apt-get update && apt-get install -y spin; }

test: spin
	go test -race -count=1 -timeout 15m ./...

demo: build
	$(BIN)/driftlab demo
