// Messages between a leader and the other daemons, over one TCP connection per daemon:
// length-prefixed structs, Reports to the leader and Updates to the daemon.

struct WeightsVersion {
  1: string model,
  2: string adapter,
  3: i32 version,
}

struct EndpointRow {
  1: string id,
  2: string service_name,
  3: string host,
  4: i32 port,
  5: string data_centre,
  6: i32 slots,
  7: bool leaving,
  8: list<WeightsVersion> weights,
  9: list<WeightsVersion> loading,
  10: bool spared,
  11: i64 born,
  12: string software,
}

struct DemandRow {
  1: string service_name,
  2: string model,
  3: string adapter,
  4: i32 arrivals,
  5: i32 waiting,
  6: i32 missed,
  7: i32 timely,
  8: i32 prompt_tokens,
  9: i32 sent,
  10: i32 sent_tokens,
}

// Weights on an engine: the number of requests that use them, or that it refused one.
struct UseRow {
  1: string endpoint,
  2: string model,
  3: string adapter,
  4: i32 count,
}

// Outcomes of requests at an endpoint since the previous report: whole is the number of
// complete answers.
struct OutcomeRow {
  1: string endpoint,
  2: i32 whole,
  3: i32 failed,
}

// Changes of the weights on an engine since the previous row or change.
struct WeightsChange {
  1: string id,
  2: list<WeightsVersion> put,
  3: list<WeightsVersion> dropped,
  4: list<WeightsVersion> loading,
}

// A lease: the data centre whose engines its holder leads, and the fence; revisions
// increase within an era of the store.
struct LeaseRow {
  1: string data_centre,
  2: i64 fence,
  3: i64 revision,
  4: i64 era,
}

// The leader of a data centre's engines, and the address on which it serves its feed.
struct LeaderRow {
  1: string data_centre,
  2: string vm,
  3: string host,
  4: i32 port,
  5: i64 fence,
}

// Units that an organisation asked for since the previous report, and those granted.
struct SpendingRow {
  1: string organisation,
  2: i64 asked,
  3: i64 granted,
}

// The throttle of an organisation at its limit: ratio is the fraction of its requests
// that can run, asked the units per second that it asks for, and wait the seconds until
// it is below its limit. The leader at keeper_host and keeper_port decides on each
// request instead, if they are set.
struct WordRow {
  1: string organisation,
  2: double ratio,
  3: double asked,
  4: double wait,
  5: string keeper_host,
  6: i32 keeper_port,
}

// A request was at an endpoint when the endpoint ended. life is the incarnation of the
// endpoint, answered says that events of the answer had arrived. Times are seconds before
// the sending of the message. An outline of -1 says that it was a part of prompts, together
// with its companions.
struct SightingRow {
  1: binary digest,
  2: i64 outline,
  3: string life,
  4: double sent_ago,
  5: double ended_ago,
  6: bool answered,
  7: i32 witness,
  8: list<binary> companions,
}

// A request completed normally, which cancels its earlier sightings.
struct ClearingRow {
  1: binary digest,
  2: i64 outline,
  3: double ago,
  4: i64 number,
}

// The notice of one incarnation of an endpoint: that it leaves, the seconds for which the
// reporting daemon has to back off, and the rate limit in force, in requests per second,
// with its version and the seconds that a call waits for a credit.
struct NoticeRow {
  1: string endpoint,
  2: i64 born,
  3: bool leaves,
  4: double rest,
  5: double limit,
  6: i32 limit_version,
  7: double turn_wait,
  8: double brittle,
  9: i32 brittle_version,
}

// An incarnation of an endpoint that has left: the store lacks its entry as of a revision,
// or, without one, the endpoint says that it leaves. One that is not certain may just have
// expired.
struct DepartureRow {
  1: string endpoint,
  2: i64 born,
  3: i64 revision,
  4: i64 era,
  5: bool certain,
}

// The number of credits requested at a rate-limited endpoint, by urgency. received is the
// number of its credits that had arrived over this connection by then.
struct WantedRow {
  1: string endpoint,
  2: map<i32, i32> counts,
  3: i32 received,
}

// Credits issued at an endpoint: the seconds from the sending for which each is valid.
struct TurnsRow {
  1: string endpoint,
  2: list<double> lasts,
}

// Streams of a service that began since the previous report, and those that paused for the
// first time for nearly as long as their route bears, or longer.
struct PauseRow {
  1: string service_name,
  2: i32 streams,
  3: i32 stretched,
}

// What one daemon, the witness, observed of an incarnation of an engine since the previous
// report. reads and gaps are the numbers of prompts and streams measured, read_sum and
// gap_sum the sums of the logarithms of their times per token or event, relative to those
// that the daemon usually sees.
struct SpeedRow {
  1: string endpoint,
  2: i64 born,
  3: i32 witness,
  4: i32 reads,
  5: double read_sum,
  6: i32 gaps,
  7: double gap_sum,
  8: i32 whole,
  9: i32 failed,
}

// How an incarnation of an engine differs from the typical one: factors on its time per
// prompt token and per event, the fraction of its usual requests that it should get, and
// the seconds for which its speed has differed.
struct FactorRow {
  1: string endpoint,
  2: i64 born,
  3: double reading,
  4: double streaming,
  5: double share,
  6: double slow_for,
}

// A daemon that reaches endpoints and serves requests that others pass on: its address for
// these, and the number of its own requests in flight.
struct TargetRow {
  1: string host,
  2: i32 port,
  3: string data_centre,
  4: i32 load,
}

// A daemon that keeps the origins of streams, and its address for datagrams.
struct RegistrarRow {
  1: string host,
  2: i32 port,
  3: string data_centre,
}

// A version of the software of a service's endpoints, and how long ago one was known.
struct SoftwareRow {
  1: string service_name,
  2: string software,
  3: double age,
}

// Streams that wait for weights at the version of software that began them.
struct BoundRow {
  1: string service_name,
  2: string software,
  3: string model,
  4: string adapter,
  5: i32 waiting,
}

// From a daemon to a leader; a leader's report to another leader sums up its daemons.
// store_age is the time since the store answered a lease renewal, read_age the time since
// it answered a read of the endpoints to this daemon itself, in seconds. stamp is the
// sender's time, secret the key of the digests of requests. follows says that the sender
// reports its own requests to this leader, and to no other. wants_full asks for all rows:
// those sent were older than what the sender has listed itself. cut_off says that no
// endpoint accepts connections of the sender; targets is itself if it reaches endpoints, of
// a leader some daemons of its group. answer_age is the time since an endpoint answered
// the sender, of a leader any daemon of its group.
struct Report {
  1: string vm,
  2: string data_centre,
  3: list<string> leads,
  4: list<DemandRow> demand,
  5: map<string, i32> in_flight,
  6: list<UseRow> uses,
  7: list<UseRow> refused,
  8: i64 configuration,
  9: double store_age,
  10: i32 daemons,
  11: list<OutcomeRow> outcomes,
  12: map<string, i32> unread,
  13: double read_age,
  14: double stamp,
  15: list<SpendingRow> spendings,
  16: list<SightingRow> sightings,
  17: list<ClearingRow> clearings,
  18: binary secret,
  19: list<NoticeRow> notices,
  20: list<WantedRow> wanted,
  21: bool follows,
  22: list<PauseRow> pauses,
  30: list<SpeedRow> speeds,
  23: bool keeps_accounts,
  24: list<DepartureRow> departures,
  25: bool wants_full,
  26: bool cut_off,
  27: list<TargetRow> targets,
  28: double answer_age,
  29: list<RegistrarRow> registrars,
  31: list<BoundRow> bound,
  32: bool lacks_software,
}

// From a leader to a daemon. Ages are seconds before the sending. in_flight, unread,
// daemons and leaders are set in regular updates only, not in those that a change
// triggers, and so are words, if organisations have quotas. room is the number of
// adapters that the engines led can still take. echo is the stamp of a report. The sender
// knows all that the store had acknowledged known_by seconds after the arrival of that
// report, and sent this update echo_age seconds after that arrival. endpoints_known_by is
// the same for endpoints that have left, versions_known_by for versions of weights.
// endpoints_revision and endpoints_era name the
// revision of the store that the sender's list of endpoints reflects; complete says that
// the rows are those of all data centres. A full update to another leader names in
// present all endpoints that the sender lists. secret is the key of
// the digests of requests. Sightings and clearings are sent to each daemon once. software
// is complete for the last software_known_for seconds.
struct Update {
  1: string leader,
  2: list<LeaseRow> leads,
  3: list<LeaseRow> resigned,
  4: double store_age,
  5: bool whole,
  6: list<EndpointRow> rows,
  7: list<WeightsChange> changes,
  8: list<string> gone,
  9: list<WeightsVersion> versions,
  10: map<string, i32> in_flight,
  11: double load_wait,
  12: i32 daemons,
  13: i64 configuration_version,
  14: binary configuration,
  15: list<LeaderRow> leaders,
  16: map<string, i32> unread,
  17: i32 room,
  18: double echo,
  19: double known_by,
  20: list<WordRow> words,
  21: binary secret,
  22: list<SightingRow> sightings,
  23: list<ClearingRow> clearings,
  24: double echo_age,
  25: list<NoticeRow> notices,
  26: list<TurnsRow> turns,
  27: list<string> paced,
  28: double endpoints_known_by,
  29: i64 endpoints_revision,
  30: i64 endpoints_era,
  31: bool complete,
  32: list<DepartureRow> departures,
  33: list<string> present,
  35: list<FactorRow> factors,
  36: list<TargetRow> targets,
  37: list<RegistrarRow> registrars,
  38: list<SoftwareRow> software,
  39: double software_known_for,
  40: double versions_known_by,
}

// A prompt that its daemon wants an engine to read, or that the engine reads: the tokens
// to read, its urgency, 0 the most urgent, how long it has waited, and the seconds in
// which reading has to begin for its objective and before its client leaves.
struct PromptRow {
  1: i64 number,
  2: i32 tokens,
  3: i32 urgency,
  4: string organisation,
  5: double waited,
  6: double begin_in,
  7: double give_up_in,
  8: bool reading,
}

// All prompts that a daemon has waiting or reading at an engine.
struct TurnsAsked {
  1: string endpoint,
  2: list<PromptRow> prompts,
}

// The prompts whose turn has come, and the seconds that others are expected to wait.
struct TurnsGranted {
  1: string endpoint,
  2: list<i64> numbers,
  3: map<i64, double> waits,
}

// A request that its daemon asks the keeper of an organisation's account about. Its
// client returns within patience seconds at the latest; content is the same then.
struct QuotaAsked {
  1: i64 number,
  2: string organisation,
  3: i64 content,
  4: i64 units,
  5: double patience,
}

// The keeper's answer: whether the request may run, else the seconds until there is room
// for it, and whether that room is reserved.
struct QuotaAnswered {
  1: i64 number,
  2: bool granted,
  3: double wait,
  4: bool reserved,
}

// Where a stream began, and the seconds for which it may still be taken up. Without a
// service, streams of several origins have this name.
struct StreamRow {
  1: binary name,
  2: string service_name,
  3: string software,
  4: double lasts,
}

// A question where a stream began that a client takes up.
struct StreamAsked {
  1: i64 number,
  2: binary name,
  3: string service_name,
}

// The answer; no stream is set if it is not known. Then only_software is the one version
// of the service of which the sender knows, if there is one, and list_age the age of its
// list of endpoints in seconds.
struct StreamAnswered {
  1: i64 number,
  2: StreamRow stream,
  3: string only_software,
  4: double list_age,
}

// A message of one datagram between two daemons. It may be lost, repeated or late; serial
// increases with each datagram of one start of a daemon, which boot names.
// A request that waits for a slot at a brittle endpoint: its urgency, 0 the most urgent,
// and the seconds that it has waited.
struct SlotRow {
  1: i32 number,
  2: i32 urgency,
  3: double waited,
}

// All requests of a daemon at a brittle endpoint: those that have a slot, the first of the
// queued ones, which wait, and how many the endpoint ever turned away; bears is how many it
// can turn away in a second. serial counts the daemon's lists.
struct SlotsAsked {
  1: string endpoint,
  2: list<i32> held,
  3: list<SlotRow> waiting,
  4: i32 queued,
  5: i32 rejected,
  6: i32 serial,
  7: double bears,
}

// The requests that get a slot, as an answer to a list; the seconds for which a slot is
// held, how many slots there are and are free, how many requests of others wait, and how
// many the endpoint has lately turned away.
struct SlotsLent {
  1: string endpoint,
  2: i32 serial,
  3: list<i32> numbers,
  4: double duration,
  5: i32 room,
  6: i32 queued,
  7: i32 rejected,
  8: i32 free,
}

struct Datagram {
  1: string vm,
  2: i64 boot,
  3: i64 serial,
  4: TurnsAsked turns_asked,
  5: TurnsGranted turns_granted,
  6: list<QuotaAsked> quota_asked,
  7: list<QuotaAnswered> quota_answered,
  8: list<StreamRow> streams,
  9: list<StreamAsked> stream_asked,
  10: list<StreamAnswered> stream_answered,
  11: SlotsAsked slots_asked,
  12: SlotsLent slots_lent,
}
