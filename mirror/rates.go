package mirror

import (
	"time"

	"github.com/boragewick/boragewick"
)

var _ boragewick.RateView = (*Mirror)(nil)

// Rate implements boragewick.RateView.
func (m *Mirror) Rate(workspace boragewick.ID) (boragewick.Rate, bool) {
	v := m.View()
	if v == nil {
		return boragewick.Rate{}, false
	}
	w := v.WorkspaceNamed(string(workspace))
	if w == nil || w.PerSecond == 0 {
		return boragewick.Rate{}, false
	}
	return boragewick.Rate{Workspace: workspace, TokensPerSecond: w.PerSecond, Burst: w.Burst}, true
}

// OwnerNamedAt implements boragewick.RateView. What a replica says of itself doesn't count:
// it may be frozen since.
func (m *Mirror) OwnerNamedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaderNamedAt
}
