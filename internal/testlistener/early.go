package testlistener

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Ending is how a server ends a connection on which it has answered a request before reading its
// body.
type Ending struct {
	// Whole is set if the end of the connection is the end of the response.
	Whole bool
	end   func(conn *net.TCPConn)
}

// Endings returns the ways to end a connection, by name.
func Endings() map[string]Ending {
	reset := func(conn *net.TCPConn) { _ = conn.SetLinger(0) }

	return map[string]Ending{
		"reset": {false, reset},
		"reset after the end": {true, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			reset(conn)
		}},
		"closed after the end": {true, func(conn *net.TCPConn) { _ = conn.CloseWrite() }},
		"request read after the end": {true, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}},
	}
}

// End ends a connection after some time.
func (e Ending) End(conn net.Conn, after time.Duration) {
	time.Sleep(after)
	if tcp, ok := conn.(*net.TCPConn); ok {
		e.end(tcp)
	}
	_ = conn.Close()
}

// ServeEarly answers each request with text once its head has arrived, and ends the connection after
// some time. It returns the address.
func ServeEarly(t testing.TB, text string, e Ending, after time.Duration) string {
	t.Helper()

	return Serve(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, text)
		e.End(conn, after)
	})
}
