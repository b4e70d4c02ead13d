package datagram

import "time"

// What an agent may take for proved about the time before it started.
//
// An agent that knows every flow of its upstream may deny a flow, and flows are reset on its word. It
// knows them if no earlier run of the agent has forwarded a flow to this run of the upstream. Neither
// the upstream's age nor how soon the agent was back proves that: the age is by a clock that may step,
// and a process may be back within milliseconds. So either the agent has seen itself that the upstream
// started later, or the record in the platform's store says which run of the upstream was served last.
//
// The record is written before the first flow is forwarded to a run, unless the store does not answer in
// time. So it refutes every other evidence if it names the current run. If it names another one, it is
// evidence only if the store answered this run of the agent at once, and if the upstream seems to have
// started with the agent: otherwise the store may have been away while an earlier run of the agent served
// the upstream, or the announcement is a late one of a run that has ended.

// UpstreamRun identifies a run of an upstream. Its zero value is no run.
type UpstreamRun struct {
	ID   string `json:"id"`
	Born int64  `json:"born"`
}

// evidence is how an agent knows that no earlier run of it has forwarded flows to the upstream.
type evidence uint8

const (
	evidenceNone evidence = iota
	// evidenceRefused: nothing listened at the upstream's address since the agent started.
	evidenceRefused
	// evidenceRanBefore: the run before it was alive since the agent started.
	evidenceRanBefore
	// evidenceFirstAnnouncement: its first announcement arrived when the agent had been up for longer than
	// the upstream takes to make it.
	evidenceFirstAnnouncement
	// evidenceRecord: earlier runs of the agent have served another run last.
	evidenceRecord
)

var evidenceNames = [...]string{"none", "refused", "ranBefore", "firstAnnouncement", "record"}

// String returns the name of the evidence in the log.
func (e evidence) String() string { return evidenceNames[e] }

// run returns the current run of the upstream.
func (u *upstream) run() UpstreamRun {
	if u.born == 0 {
		return UpstreamRun{}
	}
	return UpstreamRun{u.id, u.born}
}

// evidenceOfNext returns what is known of a run that follows this one. A single announcement of this
// run may be a late one, so that it ended before the agent started. Late announcements mostly arrive
// together; if they don't, the record refutes the evidence.
func (u *upstream) evidenceOfNext(h HeartbeatInterval) evidence {
	if u.evidence == evidenceNone && (u.state == UpstreamGone || u.ranDuring(h)) {
		return evidenceRanBefore
	}
	return u.evidence
}

// ranDuring reports whether this run is known to have run since the agent started.
func (u *upstream) ranDuring(h HeartbeatInterval) bool {
	return u.evidence != evidenceNone || u.announcedAt-u.announcedSince >= h.duration()/2
}

// startedDuring reports whether the upstream is so young that it started with the agent, which has been
// up for the given time, or after it. After a power failure upstreams often start some moments before
// their agents.
//
// A run that could not be recorded gets flows no earlier than runRecordTimeout after its start. If it is
// young, this agent started earlier than that, so no run of the agent before can have served it. Only a
// step of the clock makes it look young when it is not.
func (a *Announcement) startedDuring(uptime time.Duration) bool {
	return a.Age >= 0 && !a.startedBefore(uptime)
}

// startedBefore reports whether the upstream started before the agent, by the VM's clock. If it did, an
// announcement with sequence 1 is a late one: it says nothing of the run that announces itself now.
func (a *Announcement) startedBefore(uptime time.Duration) bool {
	return a.Age >= uptime+runRecordTimeout
}

// runRecord is what the agent knows of the record of the upstream's run that was served last.
type runRecord struct {
	// earlier is the run that earlier runs of the agent have recorded; zero: none, or not known.
	earlier UpstreamRun
	// latest is the run that the record has, or will have when it is written.
	latest     UpstreamRun
	read       bool // the record was read
	readAtOnce bool // the store answered the first call of this run of the agent
	overdue    bool // the record was not read within runRecordTimeout
	// awaited is the run that is being recorded, before which nothing is forwarded to it until
	// the deadline.
	awaited  UpstreamRun
	deadline time.Duration
}

// runRecordTimeout is how long openings wait for the record of their upstream's run. Callers repeat them
// after that.
const runRecordTimeout = 200 * time.Millisecond

// SetServedRun sets the run of the upstream that earlier runs of the agent have recorded as the last one
// that they served. atOnce is set if the store answered the first call of this run of the agent.
func (a *Agent) SetServedRun(r UpstreamRun, atOnce bool, now time.Duration) {
	pending := a.runRecordPending(now)
	a.served.earlier, a.served.read, a.served.readAtOnce = r, true, atOnce
	if a.served.latest == (UpstreamRun{}) {
		a.served.latest = r
	}
	if a.applyRunRecord() {
		a.Log.upstreamChanged(&a.upstream, false)
		pending = true
	}
	if pending {
		a.broadcastStatus(now)
	}
}

// runRecordPending reports whether the record is still being read that may prove or refute that the agent
// knows every flow of its upstream.
func (a *Agent) runRecordPending(now time.Duration) bool {
	u := &a.upstream
	return a.OnServe != nil && !a.served.read && now < runRecordTimeout && u.born != 0 && (u.young || u.evidence != evidenceNone)
}

// stopAwaitingRunRecord tells the balancers what the agent knows without the record, if the store has not
// answered in time.
func (a *Agent) stopAwaitingRunRecord(now time.Duration) {
	if a.OnServe == nil || a.served.read || a.served.overdue || now < runRecordTimeout {
		return
	}
	a.served.overdue = true
	if a.upstream.born != 0 && a.upstream.evidence != evidenceNone {
		a.broadcastStatus(now)
	}
}

// HandleRunRecorded notes that the store has recorded the run as the last one that was served.
func (a *Agent) HandleRunRecorded(r UpstreamRun) {
	if r == a.served.awaited {
		a.served.awaited = UpstreamRun{}
	}
}

// isRecorded reports whether earlier runs of the agent have served the current run of the upstream, which
// therefore started before this agent.
func (a *Agent) isRecorded() bool {
	return a.served.earlier != UpstreamRun{} && a.served.earlier == a.upstream.run()
}

// mayBeLate reports whether the agent may have heard only late announcements of the current run, while a
// run that started after it holds flows.
func (a *Agent) mayBeLate() bool {
	none := UpstreamRun{}
	otherServed := a.served.earlier != none && !a.isRecorded()
	return !a.upstream.ranDuring(a.Heartbeat) && (otherServed || a.OnServe != nil && !a.served.read)
}

// applyRunRecord applies the record to what the agent knows of the current run of the upstream. It reports
// whether that has changed.
func (a *Agent) applyRunRecord() bool {
	u, none := &a.upstream, UpstreamRun{}
	before := u.evidence
	switch {
	case a.isRecorded():
		u.evidence = evidenceNone
	case u.evidence == evidenceNone && u.young && u.run() != none && a.served.earlier != none && a.served.readAtOnce:
		u.evidence = evidenceRecord
	}
	return u.evidence != before
}

// recordRun begins to record the current run of the upstream. Only a run that a later run of the agent could
// take for unused has to wait for the record.
func (a *Agent) recordRun(now time.Duration) {
	u := &a.upstream
	r := u.run()
	if a.OnServe == nil || r.Born == 0 || r == a.served.latest {
		return
	}
	if u.young || u.sequence == 1 || u.evidence != evidenceNone {
		a.served.awaited, a.served.deadline = r, now+runRecordTimeout
	}
	a.served.latest = r
	a.OnServe(r)
}

// awaitsRunRecord reports whether the upstream gets no flow yet because its run is being recorded.
func (a *Agent) awaitsRunRecord(now time.Duration) bool {
	return a.served.awaited != UpstreamRun{} && a.served.awaited == a.upstream.run() && now < a.served.deadline
}
