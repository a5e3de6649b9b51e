package boragewick

import "context"

// Hello is the information that two processes exchange when a link starts.
type Hello struct {
	Instance    string      `cbor:"instance" json:"instance"`
	Domain      string      `cbor:"domain" json:"domain"`
	Role        string      `cbor:"role" json:"role"`
	Incarnation Incarnation `cbor:"incarnation" json:"incarnation"`
}

// helloKey is the context key of the remote's Hello.
type helloKey struct{}

// WithRemoteHello returns a context that carries the remote's Hello.
func WithRemoteHello(ctx context.Context, h Hello) context.Context {
	return context.WithValue(ctx, helloKey{}, h)
}

// RemoteHello returns the Hello of the process that opened the stream to which
// the context belongs. It returns false for contexts that aren't a Handler's.
func RemoteHello(ctx context.Context) (Hello, bool) {
	h, ok := ctx.Value(helloKey{}).(Hello)
	return h, ok
}
