package entry

import (
	"strings"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// reasonNames holds the names of the reasons in responses to callers and in logs.
var reasonNames = buildReasonNames()

func buildReasonNames() map[apiv1.Reason]string {
	names := make(map[apiv1.Reason]string, len(apiv1.Reason_name))
	for number, name := range apiv1.Reason_name {
		short := strings.TrimPrefix(name, "REASON_")
		names[apiv1.Reason(number)] = strings.ToLower(strings.ReplaceAll(short, "_", "-"))
	}
	return names
}

func reasonName(r apiv1.Reason) string { return reasonNames[r] }
