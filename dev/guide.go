package dev

import "fmt"

const guide = `cairnlift runs in this process: an entry, an agent, two simulated targets, a simulated worker.

Submit a first configuration (examples/dev/bookings.toml) from another terminal:

  go run ./cmd/cairnlift --address %[1]s apply --wait examples/dev/bookings.toml

Then send a first request and see what runs:

  curl -i -X POST http://%[2]s/bookings/pitch-7 -d 'trader=florist'
  go run ./cmd/cairnlift --address %[1]s status
  go run ./cmd/cairnlift --address %[1]s explain renewals

Jobs of callers go to queues: configure the queues, submit a job and query its state.

  go run ./cmd/cairnlift --address %[1]s queues apply examples/dev/queues.json
  go run ./cmd/cairnlift --address %[1]s job submit examples/dev/renewal.json
  go run ./cmd/cairnlift --address %[1]s job state market.example /renewals/0123456789abcdef

Ctrl-C stops everything.

`

func printGuide(o Options) {
	_, _ = fmt.Fprintf(o.Out, guide, o.Addresses.Admin, o.Addresses.Callers)
}
