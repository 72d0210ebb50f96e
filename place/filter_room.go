package place

import "fmt"

// capacityFilter refuses workers without room for the grant, the reservations of
// this round included.
type capacityFilter struct{}

func (capacityFilter) Name() string { return "room" }

func (capacityFilter) Allows(r *round, c *candidate, h *host) bool {
	return !h.overcommitted && c.size.Fits(r.freeCapacity(c, h))
}

func (capacityFilter) Explain(r *round, c *candidate, h *host) string {
	if h.overcommitted {
		return "its grants exceed what it has"
	}
	return fmt.Sprintf("needs %v, has %v free", c.size, r.freeCapacity(c, h))
}
