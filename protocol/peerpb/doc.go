// Package peerpb holds the generated messages between routers. Regenerate them
// with "go generate" after a change to peer.proto; that needs protoc on the
// path, the build does not.
package peerpb

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=../.. --go_opt=module=github.com/figstile/figstile -I ../.. ../../protocol/peerpb/peer.proto"
