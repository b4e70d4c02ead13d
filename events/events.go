// Package events defines and logs the events of pomeloway. Each has a number, a
// message and a level, listed in Catalogue and explained to operators in
// docs/EVENTS.md. Routing decisions of the hot path are queued and logged
// asynchronously.
package events

import "log/slog"

// ID is the number of an event. The meaning of a number never changes.
type ID int

// Event numbers. The first digit gives the area: 1 flows, 2 requests and upstreams,
// 3 members, 4 bundles, configurations and availability zones, 5 links, peers and
// platform, 6 programs. DecisionsLost is the exception: it is about the log.
const (
	FlowOpened           ID = 1001
	FlowPassed           ID = 1002
	FlowRefused          ID = 1003
	FlowNoUpstream       ID = 1004
	FlowDropped          ID = 1005
	FlowClosed           ID = 1006
	ReturnPathMoved      ID = 1007
	FlowReset            ID = 1008
	OpeningPlaced        ID = 1101
	OpeningPassed        ID = 1102
	OpeningRefused       ID = 1103
	OpeningNoAgent       ID = 1104
	OpeningTaken         ID = 1105
	OpeningDeclined      ID = 1106
	FlowEstablished      ID = 1107
	FlowNotFound         ID = 1108
	FlowCut              ID = 1109
	FlowFound            ID = 1110
	OpeningHeld          ID = 1111
	UploadWaits          ID = 1112
	OpeningNotAdmitted   ID = 1113
	LostFlowsReset       ID = 1115
	AccountLimited       ID = 1114
	RequestUnderWay      ID = 2201
	UpstreamChanged      ID = 2202
	AgentChanged         ID = 3101
	RecordRefused        ID = 3102
	RecordRemoved        ID = 3103
	RecordNotRemoved     ID = 3104
	EntriesMissing       ID = 3105
	NearBalancersChanged ID = 3106
	StoreWatchChanged    ID = 3107
	DirectoryIncomplete  ID = 3108
	RoutesRecorded       ID = 3109
	RouteRecordRefused   ID = 3110
	RecordMarked         ID = 3111
	RecordNotMarked      ID = 3112
	RequestKept          ID = 2204
	KeptRequestForwarded ID = 2205
	KeptRequestDropped   ID = 2206
	SpeedChanged         ID = 2207
	RequestPlaced        ID = 2001
	RequestPassed        ID = 2002
	RequestRefused       ID = 2003
	RequestUnknown       ID = 2004
	RequestReplayed      ID = 2005
	RequestToHome        ID = 2006
	AnswerDropped        ID = 2007
	UpstreamCold         ID = 2101
	UpstreamWarm         ID = 2102
	MemberJoined         ID = 3001
	MemberChanged        ID = 3002
	MemberDoubted        ID = 3003
	MemberCleared        ID = 3004
	MemberRemoved        ID = 3005
	BundleInForce        ID = 4001
	BundleRefused        ID = 4002
	ZoneOut              ID = 4003
	ZoneIn               ID = 4004

	ConfigurationInForce ID = 4101
	ConfigurationRefused ID = 4102
	ZonesChanged         ID = 4103
	LevelChanged         ID = 4104
	AnnouncementRefused  ID = 2203
	PlatformDown         ID = 5002
	PlatformUp           ID = 5003
	PeerDown             ID = 5004
	DecisionsLost        ID = 5005
	Started              ID = 6001
	Draining             ID = 6002
	Stopped              ID = 6003
	SettingsApplied      ID = 6004
	SettingsRefused      ID = 6005
)

// Entry describes one event: its number, the message that is logged, and its level.
type Entry struct {
	ID    ID
	Name  string
	Level slog.Level
}

// Catalogue lists all events. A test compares it with docs/EVENTS.md.
var Catalogue = []Entry{
	{FlowOpened, "flow opened", slog.LevelInfo},
	{FlowPassed, "opening passed to another agent", slog.LevelInfo},
	{FlowRefused, "opening refused", slog.LevelWarn},
	{FlowNoUpstream, "opening without upstream", slog.LevelWarn},
	{FlowDropped, "datagram dropped", slog.LevelWarn},
	{FlowClosed, "flow closed", slog.LevelInfo},
	{ReturnPathMoved, "return path switched to other balancers", slog.LevelInfo},
	{FlowReset, "flow reset", slog.LevelInfo},
	{OpeningPlaced, "opening sent to an agent", slog.LevelInfo},
	{OpeningPassed, "opening passed to the next agent", slog.LevelInfo},
	{OpeningRefused, "opening reset", slog.LevelWarn},
	{OpeningNoAgent, "no agent available for an opening", slog.LevelWarn},
	{OpeningTaken, "opening sent to the upstream", slog.LevelInfo},
	{OpeningDeclined, "opening declined", slog.LevelInfo},
	{FlowEstablished, "opening accepted by the upstream", slog.LevelInfo},
	{FlowNotFound, "flow not found", slog.LevelWarn},
	{FlowCut, "flow reset because it no longer exists", slog.LevelWarn},
	{FlowFound, "flow found", slog.LevelInfo},
	{OpeningHeld, "opening held back at a full upstream", slog.LevelInfo},
	{UploadWaits, "upload waits for the link", slog.LevelInfo},
	{OpeningNotAdmitted, "opening not admitted", slog.LevelInfo},
	{LostFlowsReset, "flows of a lost agent reset", slog.LevelWarn},
	{AccountLimited, "account limited", slog.LevelInfo},
	{RequestUnderWay, "request under way", slog.LevelInfo},
	{UpstreamChanged, "upstream changed", slog.LevelInfo},
	{AgentChanged, "agent changed", slog.LevelInfo},
	{RecordRefused, "member's record refused", slog.LevelWarn},
	{RecordRemoved, "dead member's record removed", slog.LevelWarn},
	{RecordNotRemoved, "dead member's record could not be removed", slog.LevelInfo},
	{EntriesMissing, "flows requested again from an agent", slog.LevelInfo},
	{NearBalancersChanged, "near balancers changed", slog.LevelInfo},
	{StoreWatchChanged, "store watch started or stopped", slog.LevelInfo},
	{DirectoryIncomplete, "home may lack flows", slog.LevelInfo},
	{RoutesRecorded, "routes recorded in the store", slog.LevelInfo},
	{RouteRecordRefused, "record of routes refused", slog.LevelWarn},
	{RecordMarked, "member's record marked or unmarked", slog.LevelInfo},
	{RecordNotMarked, "member's record could not be marked", slog.LevelInfo},
	{RequestKept, "request kept back", slog.LevelInfo},
	{KeptRequestForwarded, "kept request forwarded", slog.LevelInfo},
	{KeptRequestDropped, "kept request dropped", slog.LevelInfo},
	{SpeedChanged, "upstream's speed changed", slog.LevelInfo},
	{AnnouncementRefused, "upstream's announcement refused", slog.LevelWarn},
	{RequestPlaced, "request placed", slog.LevelInfo},
	{RequestPassed, "request passed on", slog.LevelInfo},
	{RequestRefused, "request refused", slog.LevelWarn},
	{RequestUnknown, "request outcome unknown", slog.LevelWarn},
	{RequestReplayed, "recorded response replayed", slog.LevelInfo},
	{RequestToHome, "request sent to the agent that issued its key", slog.LevelInfo},
	{AnswerDropped, "responses crossed or dropped", slog.LevelWarn},
	{UpstreamCold, "upstream considered cold", slog.LevelWarn},
	{UpstreamWarm, "upstream fully warm", slog.LevelInfo},
	{MemberJoined, "member joined", slog.LevelInfo},
	{MemberChanged, "member changed", slog.LevelInfo},
	{MemberDoubted, "member doubted", slog.LevelWarn},
	{MemberCleared, "member no longer doubted", slog.LevelInfo},
	{MemberRemoved, "dead member removed", slog.LevelWarn},
	{BundleInForce, "bundle in force", slog.LevelInfo},
	{BundleRefused, "bundle refused", slog.LevelError},
	{ZoneOut, "availability zone taken out", slog.LevelWarn},
	{ZoneIn, "availability zone taken back in", slog.LevelInfo},
	{ConfigurationInForce, "configuration in force", slog.LevelInfo},
	{ConfigurationRefused, "configuration refused", slog.LevelError},
	{ZonesChanged, "availability zones taken out or back in", slog.LevelWarn},
	{LevelChanged, "service's admission level changed", slog.LevelInfo},
	{PlatformDown, "platform not responding", slog.LevelWarn},
	{PlatformUp, "platform responding again", slog.LevelInfo},
	{PeerDown, "peer not responding", slog.LevelWarn},
	{DecisionsLost, "routing decisions not logged", slog.LevelError},
	{Started, "program started", slog.LevelInfo},
	{Draining, "program draining", slog.LevelInfo},
	{Stopped, "program stopped", slog.LevelInfo},
	{SettingsApplied, "settings applied", slog.LevelInfo},
	{SettingsRefused, "settings refused", slog.LevelError},
}

var byID = index()

func index() map[ID]Entry {
	m := make(map[ID]Entry, len(Catalogue))
	for _, e := range Catalogue {
		m[e.ID] = e
	}
	return m
}

// Lookup returns the catalogue entry of the event, and whether there is one.
func Lookup(id ID) (Entry, bool) {
	e, ok := byID[id]
	return e, ok
}
