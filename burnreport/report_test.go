package burnreport_test

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/burn"
	"github.com/boragewick/boragewick/burnreport"
)

// sample returns a report of two workspaces, one of them badly served.
func sample() burnreport.Report {
	at := time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)
	m := &burn.Meter{}
	for i := range 200 {
		good := m.Watch(boragewick.Series{Workspace: "workspace_b", Route: "route_a", Model: "walnut"}, at)
		good.Sent(at)
		good.Token(at.Add(200 * time.Millisecond))
		good.Token(at.Add(220 * time.Millisecond))
		good.Done(at.Add(time.Second), nil)
		bad := m.Watch(boragewick.Series{Workspace: "workspace_a", Route: "route_a", Model: "<walnut>"}, at)
		if i%20 == 0 {
			bad.Done(at, boragewick.NotRun(boragewick.ErrOverloaded))
			continue
		}
		bad.Sent(at.Add(time.Duration(i) * 10 * time.Millisecond))
		bad.Token(at.Add(time.Duration(i) * 11 * time.Millisecond))
		bad.Done(at.Add(3*time.Second), nil)
	}
	now := at.Add(time.Minute)
	return burnreport.Report{At: now, Levels: m.Levels(now)}
}

func TestReport(t *testing.T) {
	reports := map[string]burnreport.Report{
		"two_workspaces": sample(),
		"nothing":        {At: time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)},
	}
	formats := map[string]func(r burnreport.Report, w io.Writer) error{
		"txt":  burnreport.Report.Text,
		"json": burnreport.Report.JSON,
		"html": burnreport.Report.HTML,
	}
	for name, r := range reports {
		for format, write := range formats {
			t.Run(name+"."+format, func(t *testing.T) {
				var buf bytes.Buffer
				if err := write(r, &buf); err != nil {
					t.Fatal(err)
				}
				goldie.New(t, goldie.WithNameSuffix("."+format)).Assert(t, name, buf.Bytes())
			})
		}
	}
}
