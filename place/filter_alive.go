package place

// aliveFilter refuses workers whose leases were not renewed recently.
type aliveFilter struct{}

func (aliveFilter) Name() string { return "alive" }

func (aliveFilter) Allows(_ *round, _ *candidate, h *host) bool { return h.Alive }

func (aliveFilter) Explain(*round, *candidate, *host) string {
	return "its leases were not renewed recently"
}

// drainingFilter refuses workers that are being drained.
type drainingFilter struct{}

func (drainingFilter) Name() string { return "draining" }

func (drainingFilter) Allows(_ *round, _ *candidate, h *host) bool { return !h.Draining }

func (drainingFilter) Explain(*round, *candidate, *host) string { return "it is being drained" }

// cordonFilter refuses workers in cordoned availability zones.
type cordonFilter struct{}

func (cordonFilter) Name() string { return "cordon" }

func (cordonFilter) Allows(_ *round, _ *candidate, h *host) bool { return !h.Cordoned }

func (cordonFilter) Explain(*round, *candidate, *host) string {
	return "its availability zone is cordoned"
}
