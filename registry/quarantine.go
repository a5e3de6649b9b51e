package registry

import (
	"slices"

	"github.com/boragewick/boragewick"
)

// maxQuarantined is the number of parts that are kept, in quarantine or not.
const maxQuarantined = 1024

// applyQuarantine returns the list with the change, or false if it has no effect. The
// list is ordered by when each part was last put into quarantine. It is copied, because
// callers of State may still be reading the old one.
func applyQuarantine(list []boragewick.QuarantinedPart, q boragewick.Quarantine) ([]boragewick.QuarantinedPart, bool) {
	i := slices.IndexFunc(list, func(p boragewick.QuarantinedPart) bool { return p.Part == q.Part })
	active := i >= 0 && list[i].Active
	if active != q.Lift {
		return nil, false
	}
	list = slices.Clone(list)
	if q.Lift {
		list[i].Active = false
		if q.Forget {
			list[i].Count = 0
		}
		return list, true
	}
	part := boragewick.QuarantinedPart{Part: q.Part, Active: true, Count: 1, Whole: q.Whole}
	if i >= 0 {
		part.Count += list[i].Count
		list = slices.Delete(list, i, i+1)
	}
	if len(list) >= maxQuarantined {
		oldest := max(0, slices.IndexFunc(list, func(p boragewick.QuarantinedPart) bool { return !p.Active }))
		list = slices.Delete(list, oldest, oldest+1)
	}
	return append(list, part), true
}
