package slopes

import (
	"context"
	"time"

	"github.com/boragewick/boragewick"
	"github.com/boragewick/boragewick/burn"
	"github.com/boragewick/boragewick/picker"
)

// selectionsPerRun is the number of selections in one run.
const selectionsPerRun = 2000

// routerCosts returns the measurements of a router's endpoint selection and burn
// meter.
func routerCosts() []measurement {
	return []measurement{
		{name: "picker: one choice of 512 blocks, asking nobody", unit: unitCPU, per: "endpoint", sizes: []int{750, 1500, 3000}, cost: selectTime},
		{name: "picker: memory", unit: unitBytes, per: "endpoint", sizes: []int{750, 1500, 3000}, cost: pickerMemory},
		{name: "burn meter: memory", unit: unitBytes, per: "series", sizes: []int{1000, 2000, 4000}, cost: meterMemory},
		{name: "burn meter: answer", unit: unitBytes, per: "series", sizes: []int{1000, 2000, 4000}, cost: meterBytes},
	}
}

func newPicker(endpoints int) *picker.Picker {
	p := &picker.Picker{Seed: 1}
	for n := range endpoints {
		p.Update(boragewick.EndpointChange{Endpoint: endpoint(n)})
	}
	return p
}

func selection(n int) boragewick.Selection {
	return boragewick.Selection{
		Workspace:    workspaceID(n),
		Pool:         endpoint(n).Pool,
		Kind:         boragewick.EndpointModel,
		Model:        model(n),
		Blocks:       blocks(n, probeBlocks),
		PromptTokens: probeBlocks * boragewick.BlockTokens,
	}
}

func selectTime(ctx context.Context, endpoints int) (float64, error) {
	p := newPicker(endpoints)
	requests := make([]boragewick.Selection, selectionsPerRun)
	for n := range requests {
		requests[n] = selection(n)
	}
	cost, err := processorTime(func() error {
		for _, s := range requests {
			if _, err := p.Select(ctx, s); err != nil {
				return err
			}
		}
		return nil
	})
	return cost / selectionsPerRun, err
}

func pickerMemory(ctx context.Context, endpoints int) (float64, error) {
	return memory(func() (any, error) {
		p := newPicker(endpoints)
		for n := range selectionsPerRun {
			if _, err := p.Select(ctx, selection(n)); err != nil {
				return nil, err
			}
		}
		return p, nil
	})
}

// meterWithSeries returns a meter that has observed one answer for each series.
func meterWithSeries(series int) *burn.Meter {
	var m burn.Meter
	for n := range series {
		w := m.Watch(boragewick.Series{Workspace: workspaceID(n), Model: model(n).Name}, start)
		for _, wait := range []int{30, 200, 900, 9000} {
			w.Token(start.Add(time.Duration(wait) * time.Millisecond))
			w.Token(start.Add(time.Duration(wait+5+n%100) * time.Millisecond))
		}
		w.Done(start.Add(10*time.Second), nil)
	}
	return &m
}

func meterMemory(_ context.Context, series int) (float64, error) {
	return memory(func() (any, error) { return meterWithSeries(series), nil })
}

func meterBytes(_ context.Context, series int) (float64, error) {
	b, err := meterWithSeries(series).Encode()
	return float64(len(b)), err
}
