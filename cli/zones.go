package cli

import (
	"cmp"
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobapi"
)

// zoneView is an availability zone as printed for operators.
type zoneView struct {
	Zone     string `json:"zone"`
	Cordoned bool   `json:"cordoned"`
	Revision uint64 `json:"revision"`
	// Since is when the zone was last cordoned or uncordoned, empty if never.
	Since    string `json:"since,omitempty"`
	Operator string `json:"operator,omitempty"`
	Workers  uint32 `json:"workers"`
	Runs     uint32 `json:"runs"`
}

func newZoneView(z *apiv1.ZoneRecord) zoneView {
	c := z.GetCordon()
	v := zoneView{
		Zone: c.GetZone(), Cordoned: c.GetCordoned(), Revision: c.GetRevision(), Operator: c.GetOperator(),
		Workers: z.GetWorkers(), Runs: z.GetRuns(),
	}
	if c.GetSinceMs() > 0 {
		v.Since = time.UnixMilli(c.SinceMs).UTC().Format(time.RFC3339)
	}
	return v
}

func (v zoneView) state() string {
	if v.Cordoned {
		return "cordoned"
	}
	return "open"
}

func (a *App) listZones(c *kingpin.CmdClause) Runner {
	asJSON := jsonFlag(c)
	return func(ctx context.Context) error {
		return a.withJobClient(ctx, func(ctx context.Context, c *jobapi.Client) error {
			zones, err := c.Zones(ctx)
			if err != nil {
				return err
			}
			views := make([]zoneView, 0, len(zones))
			for _, z := range zones {
				views = append(views, newZoneView(z))
			}
			return a.printResult(*asJSON, views, func() { a.printZones(views) })
		})
	}
}

func (a *App) printZones(views []zoneView) {
	for _, v := range views {
		a.printf("%s\t%s\t%d workers\t%d runs\t%s\t%s\n", v.Zone, v.state(), v.Workers, v.Runs, cmp.Or(v.Since, "-"), cmp.Or(v.Operator, "-"))
	}
}

func (a *App) cordonZone(c *kingpin.CmdClause) Runner { return a.orderZone(c, true) }

func (a *App) uncordonZone(c *kingpin.CmdClause) Runner { return a.orderZone(c, false) }

// zoneOrderResult is the printed result of an accepted order.
type zoneOrderResult struct {
	Zone     string `json:"zone"`
	Cordoned bool   `json:"cordoned"`
}

func (a *App) orderZone(c *kingpin.CmdClause, cordoned bool) Runner {
	zone := c.Arg("zone", "Name of the availability zone.").Required().String()
	asJSON := jsonFlag(c)
	return func(ctx context.Context) error {
		return a.withJobClient(ctx, func(ctx context.Context, c *jobapi.Client) error {
			if err := c.OrderZone(ctx, *zone, cordoned, a.operator); err != nil {
				return err
			}
			result := zoneOrderResult{*zone, cordoned}
			return a.printResult(*asJSON, result, func() { a.printf("accepted\n") })
		})
	}
}
