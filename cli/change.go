package cli

import (
	"context"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cairnlift/cairnlift/admin"
)

func (a *App) addChangeCommands() {
	a.Command(a.Root(), "drain", "Make a worker or a target leave: nothing new, and what runs ends or moves.", a.drain)
	a.Command(a.Root(), "cancel", "Cancel jobs.", a.cancel)
}

func (a *App) drain(c *kingpin.CmdClause) Runner {
	req := admin.DrainRequest{}
	c.Arg("name", "Name of the worker or target.").Required().StringVar(&req.Name)
	c.Flag("kind", "worker or target; needed when both have the name.").EnumVar(&req.Kind, admin.KindWorker, admin.KindTarget)
	c.Flag("undo", "End the drain.").BoolVar(&req.Undo)
	return a.withClient(func(ctx context.Context, client *admin.Client) error {
		req.Operator = a.operator
		got, err := client.Drain(ctx, req)
		if err != nil {
			return err
		}
		if !got.Draining {
			a.printf("%s %s takes work again\n", got.Kind, req.Name)
			return nil
		}
		a.printf("%s %s is draining, %d in progress\n", got.Kind, req.Name, got.InFlight)
		return nil
	})
}

func (a *App) cancel(c *kingpin.CmdClause) Runner {
	req := admin.CancelRequest{}
	c.Arg("job", "Names of the jobs.").Required().StringsVar(&req.Jobs)
	c.Flag("reason", "Reason that is shown with the jobs.").StringVar(&req.Reason)
	return a.withClient(func(ctx context.Context, client *admin.Client) error {
		req.Operator = a.operator
		got, err := client.Cancel(ctx, req)
		if err != nil {
			return err
		}
		names := strings.Join(req.Jobs, ", ")
		if got.Repeated {
			a.printf("canceled before: %s\n", names)
			return nil
		}
		a.printf("canceled: %s\n", names)
		return nil
	})
}

func (a *App) addMemberCommands() {
	members := a.kingpin.Command("members", "Show or change the control group.")
	a.Command(members, "list", "Show the replicas.", a.listMembers)
	a.Command(members, "add", "Take a replica in, as a learner until it has caught up.", a.addMember)
	a.Command(members, "remove", "Take a replica out.", a.removeMember)
}

func (a *App) listMembers(c *kingpin.CmdClause) Runner {
	c.Default()
	asJSON := jsonFlag(c)
	return a.withClient(func(ctx context.Context, client *admin.Client) error {
		got, err := client.Members(ctx)
		if err != nil {
			return err
		}
		return a.printResult(*asJSON, got, func() { a.printMembers(got) })
	})
}

func (a *App) addMember(c *kingpin.CmdClause) Runner {
	m := admin.Member{}
	c.Arg("name", "Name of the host.").Required().StringVar(&m.Name)
	c.Arg("internal-address", "Its internal address, IP:port.").Required().StringVar(&m.Address)
	return a.withClient(func(ctx context.Context, client *admin.Client) error {
		got, err := client.AddMember(ctx, m)
		if err != nil {
			return err
		}
		a.printMembers(got)
		return nil
	})
}

func (a *App) removeMember(c *kingpin.CmdClause) Runner {
	name := c.Arg("name", "Name of the host.").Required().String()
	return a.withClient(func(ctx context.Context, client *admin.Client) error {
		got, err := client.RemoveMember(ctx, *name)
		if err != nil {
			return err
		}
		a.printMembers(got)
		return nil
	})
}
