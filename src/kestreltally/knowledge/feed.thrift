// What the leader and the other daemons tell each other, over one TCP connection a
// daemon: length-prefixed structs, Reports one way and Updates the other.

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
}

// Weights on an engine: how many requests use them there, or that it refused one.
struct UseRow {
  1: string endpoint,
  2: string model,
  3: string adapter,
  4: i32 count,
}

// How requests ended at an endpoint since the report before: whole, or failed.
struct OutcomeRow {
  1: string endpoint,
  2: i32 whole,
  3: i32 failed,
}

// What changed of the weights on an engine since the row or change before.
struct WeightsChange {
  1: string id,
  2: list<WeightsVersion> put,
  3: list<WeightsVersion> dropped,
  4: list<WeightsVersion> loading,
}

// A lease: whose engines its holder leads, and under which number; revisions rise within
// an era of the store.
struct LeaseRow {
  1: string data_centre,
  2: i64 fence,
  3: i64 revision,
  4: i64 era,
}

// Who leads the engines of a data centre, and where it hears followers.
struct LeaderRow {
  1: string data_centre,
  2: string vm,
  3: string host,
  4: i32 port,
  5: i64 fence,
}

// Units that an organisation asked for since the report before, and those granted.
struct SpendingRow {
  1: string organisation,
  2: i64 asked,
  3: i64 granted,
}

// An organisation at its limit: which part of its requests may run, the units a second
// that it asks for, and how long until it is below its limit.
struct WordRow {
  1: string organisation,
  2: double ratio,
  3: double asked,
  4: double wait,
}

// A request was at an endpoint when that ended; life is that start of the endpoint,
// answered tells that events had come. Seconds count back from the sending.
struct SightingRow {
  1: binary digest,
  2: i64 outline,
  3: string life,
  4: double sent_ago,
  5: double ended_ago,
  6: bool answered,
  7: i32 witness,
}

// A request ran well: what was seen of it before is void.
struct ClearingRow {
  1: binary digest,
  2: i64 outline,
  3: double ago,
  4: i64 number,
}

// What one start of an endpoint has said of itself: that it leaves, how many seconds it
// is to be left alone by the daemon that tells it, and the limit in force there, requests
// a second, with its version and how many seconds a call waits there for its turn.
struct NoticeRow {
  1: string endpoint,
  2: i64 born,
  3: bool leaves,
  4: double rest,
  5: double limit,
  6: i32 limit_version,
  7: double turn_wait,
}

// How many turns are wanted at an endpoint that names a limit, by urgency, as received
// turns there had come over this connection.
struct WantedRow {
  1: string endpoint,
  2: map<i32, i32> counts,
  3: i32 received,
}

// Turns that are lent at an endpoint: for how many seconds from the sending each lasts.
struct TurnsRow {
  1: string endpoint,
  2: list<double> lasts,
}

// From a daemon to a leader; from a leader to another one it sums up its daemons.
// store_age tells how long ago the store answered a renewal, read_age how long ago it
// told this daemon itself of endpoints, seconds. stamp is the sender's own time, secret
// what the digests of requests are taken under. follows tells that the sender reports
// what is its own to this leader, and to no other.
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
}

// From a leader to a daemon. Seconds count back from the sending. in_flight, unread,
// daemons and leaders come with the regular updates only, not with those that a change
// brings on, and so do words, where organisations have quotas. room is how many more
// adapters the engines led could take. echo is the stamp of a report, and all that the
// store had acknowledged known_by seconds after its arrival is known to the sender;
// echo_age seconds after its arrival the update was sent.
// secret is what the digests of requests are taken under; of sightings and clearings
// each daemon is told once.
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
}
