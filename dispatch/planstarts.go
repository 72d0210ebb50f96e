package dispatch

import (
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// maxStartBytes bounds the starts of a plan, which is refused if it exceeds quorum.MaxCommandBytes.
	maxStartBytes = 1 << 20
	// startHeaderBytes bounds what the header of a start takes in a plan.
	startHeaderBytes = 6
)

// firstStarts returns the starts that a plan may contain; the next round decides on the others anew. A gang
// is not divided.
func firstStarts(m *jobqueue.Machine, starts []*apiv1.StartRun) []*apiv1.StartRun {
	bytes := 0
	for first := 0; first < len(starts); {
		next := first + m.GroupLength(starts[first:])
		for _, s := range starts[first:next] {
			bytes += startHeaderBytes + proto.Size(s)
		}
		if bytes > maxStartBytes && first > 0 {
			return starts[:first]
		}
		first = next
	}
	return starts
}
