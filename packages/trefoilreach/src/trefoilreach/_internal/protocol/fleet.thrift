// Datagrams between the daemons of a deployment. Each report states all requests of the daemon
// that wrote it, so a lost one is made good by the next. What changes rarely is only in the whole
// reports that are sent from time to time. Times are durations in milliseconds, never clock
// readings.

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

// A request that had not been answered yet when its worker died.
struct Crash {
  1: string fingerprint,
  2: string worker,
  3: optional list<string> parts,   // shared prompt parts
  4: optional i32 age_ms,
}

// A suspected prompt part of a request that a worker has begun to answer.
struct AnsweredPart {
  1: string part,
  2: i32 age_ms,
}

// A prompt part that crashes workers.
struct BlockedPart {
  1: string part,
  2: i32 age_ms,           // since the last crash or the start of the last trial
  3: i32 trials,
}

// Requests of the sender at one worker since the sender started.
struct WorkerOutcomes {
  1: string worker,
  2: i32 good,
  3: i32 bad,
}

// What is in whole reports only.
struct Identity {
  1: string host,
  2: i32 port,             // datagrams
  3: i32 control_port,     // HTTP between daemons
  4: string front,         // address for callers
  5: string data_centre,
  6: i32 uptime_ms,
  7: i32 millicores,       // of the VM
}

struct Report {
  1: string vm,
  2: i64 incarnation,
  3: i64 sequence,
  4: optional Identity identity,
  5: bool accepting,       // whether callers may be sent here
  6: bool leaving,         // planned stop
  7: i64 config_version,
  8: i32 store_age_ms,     // since the store last answered the sender
  9: optional list<WorkerRuns> runs,
  10: optional list<Waiter> waiters,
  11: optional list<AccountUse> accounts,   // those that changed; all active ones in whole reports
  12: optional list<JobProgress> jobs,      // likewise
  13: optional list<string> suspects,       // workers that do not answer the sender
  14: optional list<Crash> crashes,
  15: optional list<WorkerOutcomes> outcomes,   // those that changed, like accounts
  16: optional bool standby,   // the sender takes no callers and gets whole reports only
  17: optional list<AnsweredPart> answered_parts,
  18: optional list<BlockedPart> blocked_parts,
}

// How far the receiver passes reports on.
enum Spread {
  NOWHERE = 0,
  DATA_CENTRE = 1,         // to the daemons of the receiver's data centre
  FLEET = 2,               // to those, and to a relay in each other data centre
}

// Reports on their way from the daemons that wrote them.
struct Bundle {
  1: string vm,            // sender of this datagram
  2: Spread spread,
  3: list<Report> reports,
  4: optional list<string> late,   // to standby daemons: active daemons that are silent
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
  1: optional Bundle bundle,
  2: optional FreshnessQuery query,
  3: optional FreshnessReply reply,
  4: optional Hello hello,
  5: optional Peers peers,
}
