package link

import (
	"bufio"
	"io"
	"net"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// Message is any protobuf message.
type Message = proto.Message

// ioBuffer is the size of a stream's read and write buffers, in bytes.
const ioBuffer = 2 << 10

// messageStream frames messages on a byte stream, each prefixed by its size.
type messageStream struct {
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
}

func newMessageStream(conn net.Conn) *messageStream {
	return &messageStream{
		conn:   conn,
		reader: bufio.NewReaderSize(conn, ioBuffer),
		writer: bufio.NewWriterSize(conn, ioBuffer),
	}
}

// Send writes one message in as few frames as its size allows.
func (s *messageStream) Send(msg Message) error {
	if proto.Size(msg) > MaxMessage {
		return errors.Newf("message of %d bytes exceeds the limit of %d", proto.Size(msg), MaxMessage)
	}
	if _, err := protodelim.MarshalTo(s.writer, msg); err != nil {
		return errors.Wrap(err, "write message")
	}
	return errors.Wrap(s.writer.Flush(), "write message")
}

// Recv reads one message. A truncated message is an error other than io.EOF.
func (s *messageStream) Recv(msg Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: MaxMessage}
	err := options.UnmarshalFrom(s.reader, msg)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return io.EOF
	}
	return errors.Wrap(err, "read message")
}

// Close ends the stream.
func (s *messageStream) Close() error {
	return s.conn.Close()
}
