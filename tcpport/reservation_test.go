package tcpport

import (
	"net"
	"testing"
)

// TestReservedPort answers the pattern in which tests of several packages open
// sockets at the same time and one of them takes the port that another has chosen
// for a process.
func TestReservedPort(t *testing.T) {
	r, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	for range 2 { // a process that restarts listens again
		l, err := net.Listen("tcp", r.Addr.String())
		if err != nil {
			t.Fatalf("the process can't listen on its port: %v", err)
		}
		c, err := net.Dial("tcp", r.Addr.String())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
		_ = l.Close()
	}
}

// TestReservedPortIsNotHandedOut takes every port that the kernel is willing to
// give while one is reserved.
func TestReservedPortIsNotHandedOut(t *testing.T) {
	r, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	const attempts = 3000
	for range attempts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		if l.Addr().String() == r.Addr.String() {
			t.Fatal("another listener got the reserved port")
		}
	}
}
