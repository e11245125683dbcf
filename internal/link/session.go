package link

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// Message is any protobuf message.
type Message = proto.Message

const (
	// streamWindow is what one stream may hold unread, in bytes; a slow
	// reader stalls only its own stream.
	streamWindow = 256 << 10
	// silentFor is how long a session with open streams may bring nothing
	// before it is probed.
	silentFor = 3 * time.Second
	// writeTimeout ends a session whose peer takes nothing for so long.
	writeTimeout = 5 * time.Second
	// ioBuffer is the size of a stream's read and write buffers, in bytes.
	ioBuffer = 2 << 10
)

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.MaxStreamWindowSize = streamWindow
	// The session's own probes would cost 48 KB/s for 1,900 idle sessions;
	// the pool probes only those that are busy and silent.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamOpenTimeout = writeTimeout
	config.StreamCloseTimeout = writeTimeout
	config.AcceptBacklog = 1024
	config.LogOutput = io.Discard
	return config
}

// keepAlive lets the kernel find peers that vanished from idle connections;
// rarely, since a router may hold a thousand of them.
func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: 5 * time.Minute, Interval: 30 * time.Second, Count: 4}
}

// messageStream frames messages on a byte stream, each behind its size.
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
		return errors.Newf("message of %d bytes is over the bound of %d", proto.Size(msg), MaxMessage)
	}
	if _, err := protodelim.MarshalTo(s.writer, msg); err != nil {
		return errors.Wrap(err, "write message")
	}
	return errors.Wrap(s.writer.Flush(), "write message")
}

// Recv reads one message; a message cut short is an error, never io.EOF.
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
