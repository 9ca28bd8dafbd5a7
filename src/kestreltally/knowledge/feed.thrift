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
}

struct DemandRow {
  1: string service_name,
  2: string model,
  3: string adapter,
  4: i32 arrivals,
  5: i32 waiting,
  6: i32 missed,
}

// Weights on an engine: how many requests use them there, or that it refused one.
struct UseRow {
  1: string endpoint,
  2: string model,
  3: string adapter,
  4: i32 count,
}

// From a daemon to the leader.
struct Report {
  1: string vm,
  2: string data_centre,
  3: list<DemandRow> demand,
  4: map<string, i32> in_flight,
  5: list<UseRow> uses,
  6: i64 configuration,
  7: list<UseRow> refused,
  8: bool sees_store,
}

// From the leader to a daemon. Seconds count back from the sending.
struct Update {
  1: string leader,
  2: i64 fence,
  3: bool leads,
  4: double store_age,
  5: bool whole,
  6: list<EndpointRow> rows,
  7: list<string> gone,
  8: list<WeightsVersion> versions,
  9: map<string, i32> in_flight,
  10: double load_wait,
  11: i32 daemons,
  12: i64 configuration_version,
  13: binary configuration,
  14: i64 revision,
}
