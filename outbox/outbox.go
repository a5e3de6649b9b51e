// Package outbox keeps what receivers that hold it in memory must be told, and which of it each run
// of a receiver has been told. A receiver that has restarted is told all of it again.
package outbox

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/boragewick/boragewick"
)

const (
	// maxItems bounds the items that are kept, the newest ones.
	maxItems = 1 << 14
	// checkInterval is how often a receiver that has everything is asked whether it is still the
	// same run.
	checkInterval = time.Second
)

// Outbox is a list of items. The zero value is empty. It is not safe for concurrent use.
type Outbox[T any] struct {
	items     []item[T]
	number    uint64
	receivers map[netip.AddrPort]receiver
}

// item is kept until it is of no more use.
type item[T any] struct {
	value  T
	number uint64
	until  time.Time
}

// receiver is what is known of a receiver.
type receiver struct {
	run boragewick.Incarnation
	// delivered is the number of the last item that the run has.
	delivered uint64
	// checkAt is when it must be asked again whether it is still that run.
	checkAt time.Time
}

// Add adds a value that is of use until the given time. If there is no room it replaces the oldest
// one.
func (o *Outbox[T]) Add(value T, until time.Time) {
	if len(o.items) >= maxItems {
		o.items = o.items[1:]
	}
	o.number++
	o.items = append(o.items, item[T]{value, o.number, until})
}

// Next returns up to n values of which the receiver hasn't been told, the oldest first, and the
// number to confirm. It reports whether the receiver is to be called, which may be only to learn
// whether it has restarted.
func (o *Outbox[T]) Next(to netip.AddrPort, n int, now time.Time) (values []T, number uint64, due bool) {
	o.expire(now)
	r := o.receivers[to]
	number = r.delivered
	first, _ := slices.BinarySearchFunc(o.items, number+1, func(it item[T], number uint64) int { return cmp.Compare(it.number, number) })
	for _, it := range o.items[first:min(first+n, len(o.items))] {
		values, number = append(values, it.value), it.number
	}
	return values, number, len(values) > 0 || len(o.items) > 0 && !now.Before(r.checkAt)
}

// Confirm records that the receiver has been told all up to the number, and which run of it has
// answered. It reports whether there is more to tell, as to a run that hasn't been told before. An
// empty run is that of a receiver which doesn't name it.
func (o *Outbox[T]) Confirm(to netip.AddrPort, run boragewick.Incarnation, number uint64, now time.Time) (more bool) {
	if o.receivers == nil {
		o.receivers = map[netip.AddrPort]receiver{}
	}
	r := o.receivers[to]
	if r.run != run && r.delivered > 0 {
		number = 0
	}
	o.receivers[to] = receiver{run, number, now.Add(checkInterval)}
	return len(o.items) > 0 && o.items[len(o.items)-1].number > number
}

// Keep forgets all receivers but those of the list.
func (o *Outbox[T]) Keep(receivers []netip.AddrPort) {
	for to := range o.receivers {
		if !slices.Contains(receivers, to) {
			delete(o.receivers, to)
		}
	}
}

// Len returns the number of items.
func (o *Outbox[T]) Len() int { return len(o.items) }

// expire drops the items that are of no more use.
func (o *Outbox[T]) expire(now time.Time) {
	o.items = slices.DeleteFunc(o.items, func(it item[T]) bool { return now.After(it.until) })
}
