package runs

import (
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Guards against the end of a present incarnation that is reported as proved: a late heartbeat of an
// earlier incarnation was taken as credible while there was no session, and is recorded after the present
// incarnation has got one.
func TestAnnouncementConfirmedBesideAnotherSessionIsNotRecorded(t *testing.T) {
	d := New(Options{})
	announcement := func(id string) Announcement {
		return Announcement{Worker: &apiv1.JobWorker{Id: id, Host: "h"}, Sequence: 1}
	}
	if recorded, err := d.recordAnnouncement(announcement("w1@5"), nil); !recorded || err != nil {
		t.Fatal("the first announcement is not recorded", err)
	}
	present := d.current()
	defer present.cancel()
	if recorded, _ := d.recordAnnouncement(announcement("w1@4"), nil); recorded {
		t.Error("the late announcement is recorded")
	}
	if d.current() != present || present.end != nil || d.departed["w1@5"] {
		t.Errorf("the present incarnation has ended: %v", present.end)
	}
}
