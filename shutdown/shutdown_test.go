package shutdown

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/boragewick/boragewick"
)

const closes = 7650 * time.Millisecond

// fakeClock is a boragewick.Clock that is set by hand.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// observedFor is for how long a policy of newPolicy has observed answers.
const observedFor = 30 * time.Second

// newPolicy returns a policy that has observed n answers, the first one observedFor ago.
func newPolicy(n int, a boragewick.AnswerTimes) (*Policy, *fakeClock) {
	clock := &fakeClock{now: time.Unix(1000, 0).Add(-observedFor)}
	p := &Policy{Clock: clock, Metrics: metrics.NewRegistry()}
	for i := range n {
		p.Observe("r", &a)
		if i == 0 {
			clock.now = time.Unix(1000, 0)
		}
	}
	clock.now = time.Unix(1000, 0)
	return p, clock
}

// shortPrompts are the streams of the short prompts of invitarte-quito-grown: 58 events of 5
// tokens.
func shortPrompts() (boragewick.AnswerTimes, boragewick.DrainRequest) {
	return boragewick.AnswerTimes{FirstEvent: 400 * time.Millisecond, Rest: 57 * 50 * time.Millisecond, Events: 58, OutputTokens: 290},
		boragewick.DrainRequest{Route: "r", Stream: true, OutputTokens: 290, FirstEventWithin: 4 * time.Second, LongestPause: 250 * time.Millisecond}
}

// TestAdmit guards against streams that are accepted by a stopping router and cut off (observed
// for streams accepted 1.2 s and 2.45 s after SIGTERM), and against refusals of requests that
// would have ended in time.
func TestAdmit(t *testing.T) {
	tests := map[string]struct {
		samples int
		// at is when the request comes, after SIGTERM.
		at       time.Duration
		edit     func(r *boragewick.DrainRequest)
		accepted bool
	}{
		"long, right after SIGTERM":                 {100, 0, long, false},
		"long, before the load balancer knows":      {100, 1200 * time.Millisecond, long, false},
		"long, afterwards":                          {100, 2300 * time.Millisecond, long, false},
		"ends in time, right after SIGTERM":         {100, 0, nil, true},
		"a stream that ends in time":                {100, 2300 * time.Millisecond, nil, true},
		"a stream that just ends in time":           {100, 2900 * time.Millisecond, nil, true},
		"one that ends in time unless engines slow": {100, 3700 * time.Millisecond, nil, false},
		"a stream that does not end in time":        {100, 4500 * time.Millisecond, nil, false},
		"a short one at the same time":              {100, 4500 * time.Millisecond, tokens(50), true},
		"after the end":                             {100, 7700 * time.Millisecond, tokens(1), false},
		"its deadline comes first":                  {100, 4500 * time.Millisecond, until(7 * time.Second), true},
		"route without samples":                     {0, 2300 * time.Millisecond, nil, false},
		"route without samples, few tokens":         {0, 2300 * time.Millisecond, tokens(5), true},
		"route with too few samples":                {19, 2300 * time.Millisecond, nil, false},
		"without samples, its deadline comes first": {0, 2300 * time.Millisecond, until(7 * time.Second), true},
		"without samples or pause":                  {0, 2300 * time.Millisecond, func(r *boragewick.DrainRequest) { r.LongestPause = 0; r.OutputTokens = 1 }, false},
		"tokens that overflow the product":          {0, 2300 * time.Millisecond, tokens(1 << 60), false},
		"unknown number of tokens":                  {100, 2300 * time.Millisecond, tokens(0), false},
		"other route":                               {100, 2300 * time.Millisecond, func(r *boragewick.DrainRequest) { r.Route = "other" }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			answer, r := shortPrompts()
			p, clock := newPolicy(test.samples, answer)
			stopped := clock.now
			p.Stop(stopped.Add(closes))
			clock.now = stopped.Add(test.at)
			r.Deadline = clock.now.Add(15 * time.Second)
			if test.edit != nil {
				test.edit(&r)
			}
			err := p.Admit(&r)
			if (err == nil) != test.accepted {
				t.Fatalf("accepted %t: %v", err == nil, err)
			}
			refused := metrics.GetOrRegisterCounter("requests.refused_stopping", p.Metrics).Count()
			if (refused == 1) == test.accepted {
				t.Errorf("%d refusals counted", refused)
			}
			var retry *boragewick.RetryError
			if err != nil && (!errors.Is(err, boragewick.ErrNotRun) || !errors.Is(err, boragewick.ErrDraining) || !errors.As(err, &retry) || retry.At.Sub(clock.now) > 100*time.Millisecond) {
				t.Errorf("refused with %v", err)
			}
		})
	}
}

func tokens(n int) func(r *boragewick.DrainRequest) {
	return func(r *boragewick.DrainRequest) { r.OutputTokens = n }
}

func long(r *boragewick.DrainRequest) { r.OutputTokens = 1000 }

// until sets the deadline, after SIGTERM.
func until(d time.Duration) func(r *boragewick.DrainRequest) {
	return func(r *boragewick.DrainRequest) { r.Deadline = time.Unix(1000, 0).Add(d) }
}

// TestExpectedTime guards against an expectation that follows the usual answer and not the slow
// ones, or the short ones of a route whose streams may be long.
func TestExpectedTime(t *testing.T) {
	stream := func(first, event time.Duration, events, tokens int) boragewick.AnswerTimes {
		return boragewick.AnswerTimes{FirstEvent: first, Rest: event * time.Duration(events-1), Events: events, OutputTokens: tokens}
	}
	tests := map[string]struct {
		// one in ten answers is slow.
		usual, slow boragewick.AnswerTimes
		tokens      int
		isStream    bool
		want        time.Duration
	}{
		"pace":                          {stream(100e6, 50e6, 58, 290), stream(100e6, 125e6, 58, 290), 290, true, 7350 * time.Millisecond},
		"first event":                   {stream(100e6, 50e6, 58, 290), stream(2e9, 50e6, 58, 290), 290, true, 4900 * time.Millisecond},
		"early ends":                    {stream(100e6, 50e6, 10, 290), stream(100e6, 50e6, 58, 290), 290, true, 3 * time.Second},
		"longer than any seen":          {stream(100e6, 50e6, 10, 50), stream(100e6, 50e6, 10, 50), 500, true, 5100 * time.Millisecond},
		"not a stream":                  {boragewick.AnswerTimes{FirstEvent: 100e6}, boragewick.AnswerTimes{FirstEvent: 900e6}, 0, false, 900 * time.Millisecond},
		"few events for many tokens":    {stream(100e6, 400e6, 2, 100000), stream(100e6, 400e6, 2, 100000), 100000, true, 900 * time.Millisecond},
		"streams of one event are rare": {stream(100e6, 50e6, 10, 50), stream(100e6, 0, 1, 50), 50, true, 600 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p, clock := newPolicy(0, boragewick.AnswerTimes{})
			clock.now = clock.now.Add(-observedFor)
			for i := range 200 {
				a := test.usual
				if i%10 == 0 {
					a = test.slow
				}
				p.Observe("r", &a)
				clock.now = clock.now.Add(observedFor / 200)
			}
			r := &boragewick.DrainRequest{Route: "r", Stream: test.isStream, OutputTokens: test.tokens, Deadline: clock.now.Add(time.Hour)}
			got, observed := p.expected(r, clock.now)
			if !observed || got < test.want*99/100 || got > test.want*130/100 {
				t.Errorf("%s, want %s to a third more", got, test.want)
			}
		})
	}
}

// TestShortlyObservedRoute guards against streams that a router accepts and cuts off as it stops a few
// seconds after its start: those that it has seen to their end are the short ones. Streams come all
// the time and are observed when they end; the last one that the router accepts is as long as
// any.
func TestShortlyObservedRoute(t *testing.T) {
	const (
		longest = 191
		every   = 5 * time.Millisecond
		pace    = 45 * time.Millisecond
	)
	for _, servedFor := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 6 * time.Second, 8 * time.Second, 30 * time.Second} {
		t.Run(servedFor.String(), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(1, uint64(servedFor)))
			started := time.Unix(1000, 0)
			type ending struct {
				at time.Time
				a  boragewick.AnswerTimes
			}
			var endings []ending
			for at := started; at.Before(started.Add(servedFor)); at = at.Add(every) {
				a := boragewick.AnswerTimes{FirstEvent: 200 * time.Millisecond, Events: 1 + int(min(rnd.ExpFloat64()*58, longest-1)), OutputTokens: 5 * longest}
				a.Rest = pace * time.Duration(a.Events-1)
				endings = append(endings, ending{at.Add(a.FirstEvent + a.Rest), a})
			}
			slices.SortFunc(endings, func(a, b ending) int { return a.at.Compare(b.at) })
			clock := &fakeClock{}
			p := &Policy{Clock: clock}
			for _, e := range endings {
				if e.at.Before(started.Add(servedFor)) {
					clock.now = e.at
					p.Observe("r", &e.a)
				}
			}
			clock.now = started.Add(servedFor)
			// The longest stream takes 8.8 s.
			p.Stop(clock.now.Add(7 * time.Second))
			r := &boragewick.DrainRequest{
				Route: "r", Stream: true, OutputTokens: 5 * longest, Deadline: clock.now.Add(15 * time.Second),
				FirstEventWithin: 4 * time.Second, LongestPause: 400 * time.Millisecond,
			}
			if err := p.Admit(r); err == nil {
				t.Error("accepted a stream that takes 8.8 s, 7 s before it is cut off")
			}
		})
	}
}

// TestAnswerTimesDecay guards against a slow phase that is remembered for ever, and a route
// whose samples are all forgotten at the end of a period.
func TestAnswerTimesDecay(t *testing.T) {
	fast, r := shortPrompts()
	slow := fast
	slow.Rest *= 10
	p, clock := newPolicy(100, slow)
	r.Deadline = clock.now.Add(time.Hour)
	for range 3 {
		clock.now = clock.now.Add(50 * time.Second)
		for range 30 {
			p.Observe("r", &fast)
		}
		if _, observed := p.expected(&r, clock.now); !observed {
			t.Fatal("samples forgotten")
		}
	}
	if got, _ := p.expected(&r, clock.now); got > 5*time.Second {
		t.Errorf("expects %s 150 s after the slow phase", got)
	}
	if _, observed := p.expected(&r, clock.now.Add(2*period)); observed {
		t.Error("samples count after two periods")
	}
}

// TestBoundedRoutes guards against memory that grows with the routes of all tables that a router
// has seen.
func TestBoundedRoutes(t *testing.T) {
	p, clock := newPolicy(100, boragewick.AnswerTimes{FirstEvent: time.Second})
	for i := range 3 * maxRoutes {
		clock.now = clock.now.Add(time.Millisecond)
		p.Observe(fmt.Sprint(i), &boragewick.AnswerTimes{FirstEvent: time.Second})
		p.Observe("r", &boragewick.AnswerTimes{FirstEvent: time.Second})
	}
	if n := len(p.routes); n > maxRoutes {
		t.Errorf("%d routes", n)
	}
	if _, observed := p.expected(&boragewick.DrainRequest{Route: "r", Deadline: clock.now.Add(time.Hour)}, clock.now); !observed {
		t.Error("a route in use was forgotten")
	}
}

// TestStopping100StreamsASecond guards against a rule that accepts streams that are cut off, or
// refuses most of those that would end, while streams of different lengths keep coming through a
// whole grace period. Engines take 0.55 to 1.3 of the usual time for the same work.
func TestStopping100StreamsASecond(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	draw := func() (tokens int, first, event time.Duration) {
		return 20 + rnd.IntN(600), time.Duration(50+rnd.IntN(400)) * time.Millisecond, time.Duration((0.55 + 0.75*rnd.Float64()) * float64(50*time.Millisecond))
	}
	p, clock := newPolicy(0, boragewick.AnswerTimes{})
	for range 1000 {
		tokens, first, event := draw()
		clock.now = clock.now.Add(observedFor / 1000)
		p.Observe("r", &boragewick.AnswerTimes{FirstEvent: first, Rest: event * time.Duration(tokens/5-1), Events: tokens / 5, OutputTokens: tokens})
	}
	stopped := clock.now
	p.Stop(stopped.Add(closes))
	var accepted, cut, refused, needless int
	for at := time.Duration(0); at < closes; at += 10 * time.Millisecond {
		clock.now = stopped.Add(at)
		tokens, first, event := draw()
		ends := at+first+event*time.Duration(tokens/5-1) <= closes
		err := p.Admit(&boragewick.DrainRequest{Route: "r", Stream: true, OutputTokens: tokens, Deadline: clock.now.Add(time.Minute)})
		switch {
		case err == nil && ends:
			accepted++
		case err == nil:
			cut++
		case ends:
			needless++
		default:
			refused++
		}
	}
	t.Logf("%d accepted, %d of them cut; %d refused, %d of them needlessly", accepted+cut, cut, refused+needless, needless)
	if cut*100 > accepted {
		t.Errorf("%d of %d accepted streams are cut off", cut, accepted+cut)
	}
	if needless > accepted {
		t.Errorf("%d streams refused that would have ended, %d accepted", needless, accepted)
	}
}
