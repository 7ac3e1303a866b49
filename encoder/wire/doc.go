// Package wire is the generated code of the protocols between the system's
// own processes. Run protoc with --go_out and --go-grpc_out after a change of
// a .proto file beside it:
//
//	protoc -I encoder/wire --go_out=. --go_opt=module=burdocklink \
//	  --go-grpc_out=. --go-grpc_opt=module=burdocklink encoder/wire/*.proto
package wire
