.PHONY: all build test lint generate bench slopes

PROTO := $(wildcard api/v1/*.proto)

all: lint build test

build:
	go build -o bin/ ./cmd/...

test:
	go test ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go tool staticcheck ./...

# Needs protoc; the two plug-ins are tools of this module.
generate:
	mkdir -p bin
	go build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	go build -o bin/protoc-gen-twirp github.com/twitchtv/twirp/protoc-gen-twirp
	PATH="$(CURDIR)/bin:$$PATH" protoc -I api/v1 --go_out=. --go_opt=module=github.com/cairnlift/cairnlift \
		--twirp_out=. --twirp_opt=module=github.com/cairnlift/cairnlift $(notdir $(PROTO))

bench:
	go test -run '^$$' -bench . -benchmem ./...

# Measures slopes and writes docs/measurements/slopes.* and docs/CAPACITY.md anew:
# about a minute, loopback only.
slopes:
	timeout 120 go run ./internal/slopes
