package main

import (
	"bytes"
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/banyanfront/banyanfront/internal/trace"
)

// Guards against committed traces that differ from the output of the generator. To update them, run
// go generate ./internal/trace/generate.
func TestCommittedTracesMatchGenerator(t *testing.T) {
	is := is.New(t)
	for _, generated := range All() {
		var written bytes.Buffer
		is.NoErr(trace.Write(&written, generated))
		committed, err := os.ReadFile("../testdata/" + generated.Header.Name + ".jsonl")
		is.NoErr(err)
		is.True(bytes.Equal(written.Bytes(), committed))
	}
}
