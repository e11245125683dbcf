package httpcheck

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// TestConnectionBehindBrokenHead guards against a request that is sent behind a broken head, on its connection,
// and against sound responses that are checked by the bytes of others.
func TestConnectionBehindBrokenHead(t *testing.T) {
	const workers, requests, brokenEvery = 16, 400, 5
	const broken = "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"
	const sound = "HTTP/1.1 103 X\r\nLink: </a>\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	var behind, brokenSent, served atomic.Int64
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for isBroken := false; ; {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if isBroken {
				behind.Add(1)
			}
			text := sound
			if isBroken = served.Add(1)%brokenEvery == 0; isBroken {
				brokenSent.Add(1)
				text = broken
			}
			if _, err := fmt.Fprint(conn, text); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	client := &http.Client{Transport: NewTransport(&http.Transport{MaxIdleConnsPerHost: workers})}
	defer client.CloseIdleConnections()
	var failed atomic.Int64
	var wait sync.WaitGroup
	for range workers {
		wait.Go(func() {
			for range requests {
				response, err := client.Post("http://"+listener.Addr().String(), "", nil)
				if err != nil {
					failed.Add(1)
					continue
				}
				_ = response.Body.Close()
			}
		})
	}
	wait.Wait()
	is.Equal(behind.Load(), int64(0))
	is.Equal(failed.Load(), brokenSent.Load())
}

// TestAnswerBehindEarlyHead guards against an answer that is held up at its end although its server has taken the
// whole request: the head came before that.
func TestAnswerBehindEarlyHead(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	const size = 8 << 20
	headRead := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 X\r\n\r\nwh")
		<-headRead
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = fmt.Fprint(conn, "ole")
	}()
	var dialed *Conn
	transport := NewTransport(new(http.Transport))
	dial := transport.base.DialContext
	transport.base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		dialed, _ = conn.(*Conn)
		return conn, err
	}
	response, err := (&http.Client{Transport: transport}).Post("http://"+listener.Addr().String(), "", strings.NewReader(strings.Repeat("x", size)))
	is.NoErr(err)
	close(headRead)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "whole")
	is.True(!dialed.writing)
}
