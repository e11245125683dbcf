// Package iostreams holds the streams that commands read and write, so that tests can pass
// buffers.
package iostreams

import (
	"bytes"
	"io"
	"os"
)

// IOStreams holds a command's input and outputs.
type IOStreams struct {
	In     io.Reader
	Out    io.Writer
	ErrOut io.Writer
}

// System returns the streams of the process.
func System() *IOStreams {
	return &IOStreams{In: os.Stdin, Out: os.Stdout, ErrOut: os.Stderr}
}

// Test returns streams on buffers, with the buffers of both outputs.
func Test() (streams *IOStreams, out, errOut *bytes.Buffer) {
	out, errOut = new(bytes.Buffer), new(bytes.Buffer)
	return &IOStreams{In: new(bytes.Buffer), Out: out, ErrOut: errOut}, out, errOut
}
