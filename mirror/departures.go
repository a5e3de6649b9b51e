package mirror

import "github.com/boragewick/boragewick"

// maxDepartures is the number of departures that are remembered, the newest ones. Replicas keep
// as many.
const maxDepartures = 1 << 13

// run identifies a run of an endpoint.
type run struct {
	endpoint string
	started  int64
}

// departures are the runs that have departed by the log. A replica that lags may tell of such a
// run, as of one that serves, after another one has told of its departure.
type departures struct {
	numbers map[run]uint64
	// newest is the highest number. Streams send departures in order, from the number with
	// which they were opened, so the router has had all that come before.
	newest uint64
}

// add records a departure.
func (d *departures) add(e boragewick.EndpointDeparture) {
	if d.numbers == nil {
		d.numbers = map[run]uint64{}
	}
	d.numbers[run{e.Endpoint, e.Started}] = e.Number
	d.newest = max(d.newest, e.Number)
	if len(d.numbers) <= 2*maxDepartures {
		return
	}
	for r, number := range d.numbers {
		if number+maxDepartures <= d.newest {
			delete(d.numbers, r)
		}
	}
}

// has reports whether the run of the endpoint has departed.
func (d *departures) has(r *boragewick.Registration) bool {
	_, ok := d.numbers[run{r.Name, r.Started}]
	return ok
}

// mergeDeparture remembers a departure and marks the endpoint as leaving if this is its run. It
// reports whether that is new. Replicas that have restarted may not know the endpoint any more.
func (m *Mirror) mergeDeparture(d boragewick.EndpointDeparture) bool {
	m.departures.add(d)
	entry := m.endpoints[d.Endpoint]
	if entry == nil || entry.Started != d.Started || entry.Leaving || entry.Gone {
		return false
	}
	entry.Leaving = true
	m.recordEndpoint(entry)
	return true
}
