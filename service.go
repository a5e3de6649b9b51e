package boragewick

import "context"

// Service is one part of a process. Run returns once ctx is done or the
// service has failed.
type Service interface {
	Run(ctx context.Context) error
}

// ServiceFunc adapts a function to a Service.
type ServiceFunc func(ctx context.Context) error

// Run calls f(ctx).
func (f ServiceFunc) Run(ctx context.Context) error { return f(ctx) }

// Services finds services by name.
type Services interface {
	// Find returns the service registered under the name or ErrUnknownService.
	Find(name string) (Service, error)
}
