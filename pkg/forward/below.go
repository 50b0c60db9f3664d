package forward

import "github.com/rushramp/rushramp/pkg/errkind"

// noteRefusedCall tells the runner beside this entry that a call of its backend server
// was refused for want of room: runs that make such calls fail.
func (f *Forwarder) noteRefusedCall(a *attempts, refusal *errkind.Error) {
	if a == nil || f.runs == nil || !refusal.Kind.Row().Overload || !f.called.has(a.route.Name) {
		return
	}
	f.runs.CallRefused()
}
