// Messages between daemons. Times are seconds; durations only, never a clock reading,
// except wall_time, which is for display.

namespace py peer

enum MemberState {
  LIVE = 1,
  LEAVING = 2,
  SUSPECT = 3,
  UNREACHABLE = 4,
}

struct MemberUpdate {
  1: string vm,
  2: string host,
  3: i32 peer_port,
  4: i32 http_port,
  5: string data_centre,
  6: string region,
  7: i64 incarnation,
  8: MemberState state,
}

// Online requests of one route on the sender.
struct RouteLoad {
  1: string route,
  2: double weight,  // agreed rate in use there of the accounts that wait, requests a second
  3: i32 running,
}

// Online demand for one model.
struct ModelDemand {
  1: string model,
  2: double requests,     // requests at a time that the sender's callers want
  3: double traffic_age,  // since the last request that the sender knows of, on any daemon
}

struct ProbeRequest {
  1: MemberUpdate sender,
  2: i64 config_version,
  3: i64 withdrawals_digest,
  4: list<MemberUpdate> updates,
  5: list<RouteLoad> routes,
  6: optional list<ModelDemand> demands,
}

struct ProbeReply {
  1: MemberUpdate sender,
  2: i64 config_version,
  3: i64 withdrawals_digest,
  4: list<MemberUpdate> updates,
  5: list<RouteLoad> routes,
  6: optional list<ModelDemand> demands,
}

struct Withdrawal {
  1: string key_id,
  2: double wall_time,
}

struct ConfigReply {
  1: i64 version,
  2: binary document,
  3: list<Withdrawal> withdrawals,
  // Changes that lead from the asker's base version to this one, instead of the document.
  4: optional list<binary> changes,
}

// What a borrower of quota needs for one account.
struct QuotaDemand {
  1: string account,
  2: double rate,      // requests a second that arrive at the borrower
  3: double tokens,    // tokens that waiting requests need now
  4: double room,      // tokens that the borrower's bucket can take with the terms it has
  5: i64 sequence,     // terms of this lender that the borrower uses, 0 for none
}

// Terms that a borrower stopped using, with the tokens that it gives back.
struct QuotaReturn {
  1: string account,
  2: i64 sequence,
  3: double tokens,
}

// Asks a borrower to shrink its terms to the given ones.
struct QuotaRecall {
  1: string account,
  2: i64 sequence,
  3: double rate,
  4: double capacity,
}

// Tokens of one account in slots that were passed on.
struct QuotaTokens {
  1: string account,
  2: double tokens,
}

// Daemons name themselves in quota messages by VM and process, since a VM that
// restarted has none of the loans and slots of its earlier process.
struct BorrowRequest {
  1: string sender,
  2: string receiver,  // process that the sender expects; sequences mean nothing to another
  3: list<QuotaDemand> demands,
  4: list<QuotaReturn> returns,
  5: list<QuotaRecall> recalls,
  6: i64 slots_revision,
  7: optional binary slots,  // row of the slots when the receiver may not have it
  8: optional list<QuotaTokens> passed,  // tokens of slots that this row passes on to the receiver
}

// Terms that replace those of the borrower's earlier loan from the same lender.
struct QuotaLoan {
  1: string account,
  2: double rate,      // refill rate lent, requests a second
  3: double capacity,  // bucket capacity lent, requests
  4: double tokens,    // tokens handed over with this message
  5: double duration,  // seconds, counted by the borrower from before its request
  6: i64 sequence,
}

struct BorrowReply {
  1: string sender,
  2: list<QuotaLoan> loans,
  3: list<QuotaReturn> returns,  // answers to recalls
  4: i64 slots_revision,
  5: optional binary slots,      // row of the slots when it is newer than the asker's
}

struct Suspect {
  1: string fingerprint,
  2: i32 crashes,
  3: bool poison,
}

// One run of a request on a worker. Identical requests share a fingerprint.
struct RunClaim {
  1: string fingerprint,
  2: string server,
  3: string run,       // unique name of the run
}

struct RunReply {
  1: string server,    // worker on which an identical request runs; empty: go ahead
  2: bool completed,   // whether an identical request has completed before
}

service Peer {
  ProbeReply probe(1: ProbeRequest request),
  // True when this daemon can reach the target.
  bool probe_via(1: string host, 2: i32 peer_port),
  void withdraw(1: list<Withdrawal> withdrawals),
  // Configuration of at least min_version; base_version is the one that the asker has.
  ConfigReply fetch_config(1: i64 min_version, 2: i64 base_version),
  BorrowReply borrow(1: BorrowRequest request),
  // Online requests sent to the worker since the last notice; the answer is the number
  // of batch items that the worker's load reports count.
  i32 online_started(1: string worker, 2: i32 count),
  void cancel_job(1: string job_id),
  void suspects(1: list<Suspect> suspects),
  // Sent to the daemon that rendezvous hashing chooses for the fingerprint.
  RunReply claim_run(1: RunClaim claim),
  void end_run(1: RunClaim claim, 2: bool completed),
  // Sends the worker no new request for the models during the given time, which replaces
  // an earlier one; the answer is the time since the receiver's last request for one of them.
  double hold_back(1: string worker, 2: list<string> models, 3: double seconds),
}
