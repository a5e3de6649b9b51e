package boragewick

import "time"

// ServiceCost is how long the parts of an endpoint's work delay the first event of a request,
// in milliseconds.
type ServiceCost struct {
	// Token is for each prompt token that must be read.
	Token float64
	// Waiting is for each request that waits or is being prefilled; at a plain endpoint for
	// each request in turn, up to and including the own one.
	Waiting float64
	// Running is for each running request.
	Running float64
}

// Millis returns how long the work takes.
func (c ServiceCost) Millis(l *ServiceLoad) float64 {
	return float64(l.Tokens+l.TokensAhead)*c.Token + float64(l.Waiting)*c.Waiting + float64(l.Running)*c.Running
}

// ServiceLoad is the work that an endpoint does before or while it produces the first event
// of a request, as known when the request is sent.
type ServiceLoad struct {
	// Tokens are the prompt tokens that must be read for the request itself, and TokensAhead
	// those of requests that were sent after the endpoint last reported its load.
	Tokens, TokensAhead int
	// Waiting and Running count requests as in ServiceCost.
	Waiting, Running int
}

// ServiceSample is the observed time of one request.
type ServiceSample struct {
	Load ServiceLoad
	// At is when the time was taken.
	At time.Time
	// Millis is the time from sending the request to its first event. If Unfinished is set
	// there was no event yet, so the time is a lower bound.
	Millis     float64
	Unfinished bool
	// Factor is the time factor that the endpoint advertised.
	Factor float64
}
