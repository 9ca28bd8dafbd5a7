// Messages between daemons. Each class of messages.py has a struct of the same name
// and fields. Exactly one field of the struct Message is set, as in a union.

struct Rumour {
  1: string vm, 2: string host, 3: i32 port, 4: string data_centre,
  5: i64 incarnation, 6: i64 counter, 7: i16 state
}
struct Ping {
  1: i64 sequence, 2: list<Rumour> rumours, 3: i64 revision,
  4: double unconfirmed_for, 5: string on_behalf_of
}
struct Ack {
  1: i64 sequence, 2: string subject, 3: list<Rumour> rumours, 4: i64 revision,
  5: double unconfirmed_for
}
struct PingFor { 1: i64 sequence, 2: string subject }
struct AskPermit {
  1: string ask, 2: string endpoint, 3: string adapter, 4: i32 version,
  5: i16 priority, 6: double time_left, 7: i32 turn
}
struct WithdrawAsk { 1: string ask, 2: string endpoint }
struct View {
  1: string endpoint, 2: list<string> loaded, 3: i32 occupied, 4: i32 queued
}
struct GrantPermit {
  1: string ask, 2: string endpoint, 3: string adapter, 4: i32 version,
  5: i64 epoch, 6: i32 count, 7: double life, 8: i32 turn, 9: list<View> views
}
struct AskQueued {
  1: string ask, 2: string endpoint, 3: double expected_wait, 4: View view
}
struct RefusePermit {
  1: string ask, 2: string endpoint, 3: string reason, 4: double retry_after,
  5: string leader
}
struct ReturnPermit {
  1: string permit, 2: string endpoint, 3: i32 running, 4: bool unsure
}
struct PermitClosed { 1: string permit }
struct EndpointFault {
  1: string endpoint, 2: string adapter, 3: i32 version, 4: string fault
}
struct HandedPermit {
  1: string permit, 2: string adapter, 3: i32 version, 4: string holder,
  5: i32 count, 6: i32 running, 7: string state, 8: double life_left
}
struct HandOver {
  1: string endpoint, 2: i64 epoch, 3: i64 version, 4: double bar_left,
  5: list<string> unsure, 6: list<HandedPermit> permits
}
struct AskLoad { 1: string load, 2: double urgency }
struct GrantLoad { 1: string load }
struct EndLoad { 1: string load }
struct Change { 1: string key, 2: i64 revision, 3: string value }
struct PushChanges {
  1: i64 after, 2: i64 revision, 3: bool whole, 4: double unconfirmed_for,
  5: list<Change> changes
}
struct PullChanges { 1: i64 after }

struct Message {
  1: optional Ping ping, 2: optional Ack ack, 3: optional PingFor ping_for,
  4: optional AskPermit ask_permit, 5: optional WithdrawAsk withdraw_ask,
  6: optional GrantPermit grant_permit, 7: optional AskQueued ask_queued,
  8: optional RefusePermit refuse_permit, 9: optional ReturnPermit return_permit,
  10: optional PermitClosed permit_closed, 11: optional EndpointFault endpoint_fault,
  12: optional HandOver hand_over, 13: optional AskLoad ask_load,
  14: optional GrantLoad grant_load, 15: optional EndLoad end_load,
  16: optional PushChanges push_changes, 17: optional PullChanges pull_changes
}
struct Envelope {
  1: string sender, 2: i64 incarnation, 3: double stamp, 4: list<Message> messages
}

service Peers {
  // Receives messages. Replies are sent as separate messages.
  bool deliver(1: Envelope envelope)
}
