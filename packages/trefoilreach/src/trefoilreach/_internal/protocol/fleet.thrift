// Datagrams between the daemons of a deployment. Each report states the whole state of its
// sender, so a lost one is made good by the next. Times are durations in milliseconds,
// never clock readings.

namespace py fleet

// Requests of the sender that run at one worker.
struct WorkerRuns {
  1: string worker,
  2: i32 online,
  3: i32 batch,
}

// One request of the sender that waits for a slot.
struct Waiter {
  1: string pool,        // service whose slots it waits for
  2: i32 urgency,     // 0 first
  3: i32 order_ms,    // online: minus the time it waited; batch: time to its due time
}

// Admissions of one client account by the sender.
struct AccountUse {
  1: string account,
  2: i64 admitted,    // since the sender started
  3: double level,    // tokens that the sender believes are left over the fleet
}

// Progress of a batch job that the sender runs.
struct JobProgress {
  1: string job,
  2: i32 results,
}

// A request that was in flight at a worker that died.
struct Crash {
  1: string fingerprint,
  2: string worker,
}

struct Report {
  1: string vm,
  2: i64 incarnation,
  3: i64 sequence,
  4: string host,
  5: i32 port,             // datagrams
  6: i32 control_port,     // HTTP between daemons
  7: string front,         // address for callers
  8: string data_centre,
  9: bool accepting,       // whether callers may be sent here
  10: i64 config_version,
  11: i32 uptime_ms,
  12: list<WorkerRuns> runs,
  13: list<Waiter> waiters,
  14: list<AccountUse> accounts,
  15: list<JobProgress> jobs,
  16: list<string> suspects,        // workers that do not answer the sender
  17: list<Crash> crashes,
  18: i32 store_age_ms,             // since the store last answered the sender
  19: bool leaving,                 // planned stop
}

// Asks a peer how fresh its view of the desired state is.
struct FreshnessQuery {
  1: i64 nonce,
  2: string host,
  3: i32 port,
}

struct FreshnessReply {
  1: i64 nonce,
  2: i64 config_version,
  3: i32 age_ms,           // since the version was confirmed as the newest
}

// Asks for the addresses of the daemons that the receiver knows; a report answers it too.
struct Hello {
  1: string host,
  2: i32 port,
}

struct Peers {
  1: list<string> addresses,
}

struct Datagram {
  1: optional Report report,
  2: optional FreshnessQuery query,
  3: optional FreshnessReply reply,
  4: optional Hello hello,
  5: optional Peers peers,
}
