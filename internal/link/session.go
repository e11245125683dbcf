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
	// streamWindow limits the unread data of one stream, in bytes. A slow reader blocks
	// only its own stream.
	streamWindow = 256 << 10
	// maxSilence is how long a session with open streams may receive nothing before it is
	// probed.
	maxSilence = 3 * time.Second
	// writeTimeout is how long a write may block before the session is closed.
	writeTimeout = 5 * time.Second
	// ioBuffer is the size of a stream's read and write buffers, in bytes.
	ioBuffer = 2 << 10
)

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.MaxStreamWindowSize = streamWindow
	// yamux's own probes would cost 48 KB/s for 1,900 idle sessions. The pool probes only
	// sessions that have open streams and are silent.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamOpenTimeout = writeTimeout
	config.StreamCloseTimeout = writeTimeout
	config.AcceptBacklog = 1024
	config.LogOutput = io.Discard
	return config
}

// keepAlive lets the kernel detect lost peers of idle connections. The probes are rare,
// since a router may have a thousand of these connections.
func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: 5 * time.Minute, Interval: 30 * time.Second, Count: 4}
}

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
