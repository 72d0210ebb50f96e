package entry

import (
	"net/http"
	"sync"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// agentClients caches one twirp client per agent address.
type agentClients struct {
	http      *http.Client
	byAddress sync.Map // string to apiv1.Agent
}

func (c *agentClients) client(address string) apiv1.Agent {
	if v, ok := c.byAddress.Load(address); ok {
		return v.(apiv1.Agent)
	}
	v, _ := c.byAddress.LoadOrStore(address, apiv1.NewAgentProtobufClient("http://"+address, c.http))
	return v.(apiv1.Agent)
}
