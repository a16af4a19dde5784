package inspector_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/inspector"
	"github.com/damasklever/damasklever/internal/testlistener"
)

// textConn is a connection on which text arrives.
type textConn struct {
	net.Conn
	in io.Reader
}

// Read implements net.Conn.
func (c *textConn) Read(p []byte) (int, error) { return c.in.Read(p) }

// SetWriteDeadline implements net.Conn.
func (c *textConn) SetWriteDeadline(time.Time) error { return nil }

// read reads a response from text, and returns an error if it is not valid.
func read(text io.Reader) error {
	conn := inspector.NewConn(&textConn{in: text})
	if err := conn.BeginResponse(nil); err != nil {
		return err
	}
	for reader := bufio.NewReader(conn); ; {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		response.Body.Close()
		if !inspector.IsInterim(response.StatusCode) {
			return inspector.CheckStatus(response.StatusCode)
		}
	}
}

// Guards against a head whose check depends on the pieces in which it arrives.
func TestHeadInPieces(t *testing.T) {
	readers := map[string]func(text string) io.Reader{
		"at once": func(text string) io.Reader { return bytes.NewBufferString(text) },
		"bytes":   func(text string) io.Reader { return iotest.OneByteReader(bytes.NewBufferString(text)) },
		"halves":  func(text string) io.Reader { return iotest.HalfReader(bytes.NewBufferString(text)) },
	}
	for name, in := range readers {
		for response, text := range testlistener.InvalidResponses("ok") {
			if err := read(in(text)); err == nil {
				t.Errorf("%s in %s: got no error, want one", response, name)
			}
		}
		for response, text := range testlistener.SoundResponses("ok") {
			if err := read(in(text)); err != nil {
				t.Errorf("%s in %s: got %v, want no error", response, name, err)
			}
		}
	}
}

// Guards against a body that is checked like a head.
func TestBodyIsNotChecked(t *testing.T) {
	const body = " a b\x00\r\n\r\nHTTP/1.1 200 OK\r\n c\r\n\r\n"
	conn := inspector.NewConn(&textConn{in: bytes.NewBufferString("HTTP/1.1 200 OK\r\nA: b\r\n\r\n" + body)})
	if err := conn.BeginResponse(nil); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if got, err := io.ReadAll(response.Body); string(got) != body || err != nil {
		t.Errorf("body: got %q, %v, want %q", got, err, body)
	}
}

// Guards against an invalid response on a connection that has carried a sound one.
func TestReusedConnection(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, text := range testlistener.InvalidResponses("ok") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for _, answer := range []string{sound, sound, text} {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					io.WriteString(conn, answer)
				}
			}()
			client := &http.Client{Transport: inspector.NewTransport(&http.Transport{})}
			defer client.CloseIdleConnections()
			get := func() error {
				// A POST is not sent again on another connection.
				response, err := client.Post("http://"+l.Addr().String(), "text/plain", nil)
				if err != nil {
					return err
				}
				defer response.Body.Close()
				_, err = io.ReadAll(response.Body)

				return err
			}
			for range 2 {
				if err := get(); err != nil {
					t.Fatalf("sound response: got %v, want no error", err)
				}
			}
			if err := get(); err == nil || errors.Is(err, io.EOF) {
				t.Errorf("invalid response: got %v, want an error that is not io.EOF", err)
			}
		})
	}
}

// Guards against input of a server that causes a panic, and against a head that is read in pieces
// and judged otherwise than at once.
func FuzzHead(f *testing.F) {
	for _, text := range testlistener.InvalidResponses("ok") {
		f.Add([]byte(text))
	}
	for _, text := range testlistener.SoundResponses("ok") {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		whole := read(bytes.NewReader(text))
		if bytewise := read(iotest.OneByteReader(bytes.NewReader(text))); (whole == nil) != (bytewise == nil) {
			t.Errorf("got %v at once and %v byte by byte, want the same", whole, bytewise)
		}
	})
}
