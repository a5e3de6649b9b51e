package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/boragewick/boragewick"
)

// ratedWorkspaces is the number of workspaces that the measured grants are for.
const ratedWorkspaces = 100

// probeBlocks is the number of blocks in a measured probe, 32,768 tokens.
const probeBlocks = 512

// callCosts returns the measurements of the regular calls between processes. The
// costs include both ends and their link.
func callCosts() []measurement {
	sizes := []int{500, 1000, 2000}
	fresh := callLoad{server: controlServer, call: callFresh}
	announce := callLoad{server: controlServer, call: callAnnounce}
	grant := callLoad{server: controlServer, call: callGrant}
	probe := callLoad{server: agentServer, call: func(ctx context.Context, p boragewick.Peer, n int) error { return callProbe(ctx, p, n, probeBlocks) }}
	return []measurement{
		{name: "freshness: wire", unit: unitBytes, per: "question", sizes: sizes, cost: fresh.bytes},
		{name: "freshness: both ends", unit: unitCPU, per: "question", sizes: sizes, cost: fresh.time},
		{name: "announcement: wire", unit: unitBytes, per: "renewal", sizes: sizes, cost: announce.bytes},
		{name: "announcement: both ends", unit: unitCPU, per: "renewal", sizes: sizes, cost: announce.time},
		{name: "grant: wire", unit: unitBytes, per: "request", sizes: sizes, cost: grant.bytes},
		{name: "grant: both ends", unit: unitCPU, per: "request", sizes: sizes, cost: grant.time},
		{name: "probe of 512 blocks: wire", unit: unitBytes, per: "probe", sizes: sizes, cost: probe.bytes},
		{name: "probe of 512 blocks: both ends", unit: unitCPU, per: "probe", sizes: sizes, cost: probe.time},
		{name: "probe: message", unit: unitBytes, per: "block", sizes: []int{64, 256, 512}, cost: probeMessage},
	}
}

func controlServer() (func(handle func(string, boragewick.Handler)), error) {
	l, err := logWithWorkspaces(ratedWorkspaces)
	if err != nil {
		return nil, err
	}
	return newControl(l).Handle, nil
}

func callFresh(ctx context.Context, p boragewick.Peer, n int) error {
	r := boragewick.FreshnessRequest{Instance: fmt.Sprintf("router-%03d", n%340), InForce: boragewick.Revision{Term: 1, Index: 100_000}}
	var reply boragewick.Freshness
	return boragewick.Call(ctx, p, boragewick.MethodFresh, r, &reply)
}

// callAnnounce renews the lease of an endpoint whose record is known.
func callAnnounce(ctx context.Context, p boragewick.Peer, _ int) error {
	var lease boragewick.Lease
	return boragewick.Call(ctx, p, boragewick.MethodAnnounce, boragewick.Announcement{
		Endpoint: endpoint(0),
		Load:     boragewick.EndpointLoad{Queued: 3, Running: 20, PromptTokens: 1e9, CachedTokens: 8e8},
	}, &lease)
}

// callGrant settles one grant and requests the next one.
func callGrant(ctx context.Context, p boragewick.Peer, n int) error {
	r := boragewick.GrantRequest{
		Router:      "router-001",
		Incarnation: "inc_0000000000000001",
		Workspace:   workspaceID(n % ratedWorkspaces),
		Number:      uint64(n + 1),
		Wanted:      5000,
		Held:        2000,
	}
	var g boragewick.Grant
	return boragewick.Call(ctx, p, boragewick.MethodGrant, r, &g)
}

func newProbe(seed, size int) boragewick.Probe {
	return boragewick.Probe{
		Workspace:    workspaceID(seed),
		Model:        model(seed),
		Blocks:       blocks(seed, size),
		PromptTokens: uint64(size) * boragewick.BlockTokens,
		Deadline:     start.Add(time.Duration(seed) * time.Millisecond),
	}
}

func callProbe(ctx context.Context, p boragewick.Peer, seed, size int) error {
	var reply boragewick.ProbeReply
	return boragewick.Call(ctx, p, boragewick.MethodProbe, newProbe(seed, size), &reply)
}

func probeMessage(_ context.Context, size int) (float64, error) {
	b, err := boragewick.Encode(newProbe(1, size))
	return float64(len(b)), err
}
