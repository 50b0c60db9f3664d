// Command genproto generates Go code from the schema of the operators' API with
// the plugins pinned in go.mod. It compiles the schema itself, so protoc need
// not be installed. Run it from the repository's root after a change of the
// schema.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/pluginpb"
)

const (
	schemaDir = "api/operators"
	schema    = "operators.proto"
	outDir    = "pkg/operatorsapi"
	// parameter makes the plugins name their output files relative to the
	// schema.
	parameter = "paths=source_relative"
)

// plugins lists the packages of the code generators.
var plugins = []string{
	"google.golang.org/protobuf/cmd/protoc-gen-go",
	"google.golang.org/grpc/cmd/protoc-gen-go-grpc",
}

func main() {
	if err := run(context.Background()); err != nil {
		fmt.Fprintf(os.Stderr, "genproto: %v\n", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	request, err := compile(ctx)
	if err != nil {
		return err
	}
	for _, plugin := range plugins {
		if err := generate(ctx, plugin, request); err != nil {
			return err
		}
	}
	return nil
}

// compile compiles the schema and returns the encoded request to the plugins.
func compile(ctx context.Context) ([]byte, error) {
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{schemaDir}}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(ctx, schema)
	if err != nil {
		return nil, errors.Wrap(err, "compile the schema")
	}
	request := &pluginpb.CodeGeneratorRequest{FileToGenerate: []string{schema}, Parameter: proto.String(parameter)}
	for _, file := range files {
		request.ProtoFile = append(request.ProtoFile, protoutil.ProtoFromFileDescriptor(file))
	}
	return proto.Marshal(request)
}

// generate runs one plugin and writes the files that it returns.
func generate(ctx context.Context, plugin string, request []byte) error {
	cmd := exec.CommandContext(ctx, "go", "run", plugin)
	cmd.Stdin, cmd.Stderr = bytes.NewReader(request), os.Stderr
	answer, err := cmd.Output()
	if err != nil {
		return errors.Wrap(err, plugin)
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(answer, &response); err != nil {
		return errors.Wrap(err, plugin)
	}
	if response.Error != nil {
		return errors.Errorf("%s: %s", plugin, response.GetError())
	}
	for _, file := range response.File {
		if err := os.WriteFile(filepath.Join(outDir, file.GetName()), []byte(file.GetContent()), 0o644); err != nil {
			return errors.Wrap(err, plugin)
		}
	}
	return nil
}
