// Package testlistener has listeners for tests.
package testlistener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// dialTimeout is the time after which a listener that does not accept counts as full.
const dialTimeout = 100 * time.Millisecond

// Full returns the address of a listener that accepts no more connections.
func Full(t testing.TB) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	in, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		t.Fatalf("address: got %T, want one of IPv4", bound)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", in.Port)
	dialer := net.Dialer{Timeout: dialTimeout}
	for range 16 {
		conn, err := dialer.DialContext(t.Context(), "tcp", addr)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("listener: got 16 connections, want it to be full")

	return ""
}

// ServeOnce accepts one connection, reads a request and sends text. Then it calls sent and
// closes the connection, or holds it if hold is set. It returns the address.
func ServeOnce(t testing.TB, text string, hold bool, sent func()) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, text)
		sent()
		if hold {
			_, _ = io.Copy(io.Discard, conn)
		}
	}()

	return l.Addr().String()
}

// Serve calls handle with each connection and the first request on it, whose body has not been
// read, and closes the connection then. It returns the address.
func Serve(t testing.TB, handle func(conn net.Conn, r *http.Request)) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					handle(conn, r)
				}
			}()
		}
	}()

	return l.Addr().String()
}
