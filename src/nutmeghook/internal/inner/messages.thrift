// Messages between entry instances. Regenerate with `make thrift`.
// Field numbers are never reused; new fields are optional.
namespace py nutmeghook.internal.inner.generated

// A reader's or peer's knowledge of the configuration.
struct ConfigDigest {
  1: i64 revision,
  // Age of the newest proof that `revision` was the store's newest; -1: none.
  2: i64 confirmed_age_ms,
}

// Asks for all changes after a revision.
struct ConfigPull {
  1: i64 after_revision,
}

// Changes in order, or a whole snapshot where the log is too short.
struct ConfigUpdate {
  1: ConfigDigest digest,
  2: list<binary> changes,
  3: optional binary snapshot,
}

// Which revision an instance has in force.
struct InForceReport {
  1: string incarnation,
  2: i64 revision,
}

// Records for one ledger partition, each a msgspec-encoded record.
struct LedgerAppend {
  1: i32 partition,
  2: list<binary> records,
}

struct LedgerResults {
  1: list<binary> results,
}

// Asks the exposure keeper for leave to send answers of a version.
struct ExposureTake {
  1: string team,
  2: string template_name,
  3: string model_version,
  4: i32 answers,
  // Of the roll-out `rollout_id`: answers granted earlier that were not sent
  // and now never will be.
  5: optional i32 unused,
  6: optional i64 rollout_id,
}

struct ExposureGrant {
  1: i32 answers,
  2: i64 valid_ms,
  // Which roll-out of the version the leave is for.
  3: optional i64 rollout_id,
}

// Replicas' loads, measured by the sender; parallel lists.
struct LoadDigest {
  1: list<string> addresses,
  2: list<i32> load_percent,
  3: i64 age_ms,
  // What else the reports of `addresses` said; parallel to it. `loaded` holds
  // model versions in their written form with commas between them.
  4: optional list<i32> capacity,
  5: optional list<string> loaded,
  6: optional list<bool> leaving,
  // The sender's own attempts in flight, for those backend servers where they
  // changed; parallel lists. A backend server is named by 20 bits of a hash.
  7: optional list<i32> address_hashes,
  8: optional list<i32> in_flight,
  // Backend servers that are not named have none of the sender's attempts.
  9: optional bool complete,
  10: optional string sender_address,
}

// Asks what is loaded on the engines of the receiver's cell.
struct LoadedPull {
  // Of the page that the sender has; 0: none.
  1: i64 known_hash,
}

// The answer; the lists are left out where `content_hash` is the known one.
struct LoadedPage {
  1: i64 content_hash,
  // Of the oldest of the reports.
  2: i64 age_ms,
  3: optional list<string> addresses,
  // Each distinct set of model versions, with commas between them, and which
  // of them each address has; parallel to `addresses`.
  4: optional list<string> version_sets,
  5: optional list<i32> set_numbers,
  // Positions in `addresses`.
  6: optional list<i32> leaving,
}

struct EventsPull {
  1: i64 after_sequence,
}

struct EventsPage {
  1: string incarnation,
  2: binary events,
  3: double monotonic_ms,
  4: double wall_ms,
}

// What one instance says of another; `number` orders what it says of itself.
struct MemberState {
  1: string inner_address,
  2: string incarnation,
  3: i32 state,
  4: i64 number,
  5: i64 config_revision,
  // Where it runs; absent where the receiver can be taken to know it.
  6: optional string region,
  7: optional string data_centre,
}

// All members that the sender believes to run; so is the reply.
struct MemberTable {
  1: list<MemberState> states,
}

struct Probe {
  1: MemberState sender,
  2: list<MemberState> rumours,
  // Set on a probe that is to be passed on to a third instance.
  3: optional string target_address,
  // Of the set of members that the sender believes to run.
  4: optional i32 members_hash,
}

struct ProbeAck {
  1: MemberState sender,
  2: list<MemberState> rumours,
  3: optional i32 members_hash,
}

struct Empty {}

// A numbered result code in place of a reply.
struct Failure {
  1: i32 code_number,
  2: string detail,
}

// Up to which revision the sender has taken in each followed table; parallel
// lists. The sender names itself so that a receiver can call it back.
struct TablesDigest {
  1: string sender_address,
  2: string sender_id,
  3: list<string> tables,
  4: list<i64> revisions,
  // Age of the newest proof that the revision was the store's newest; -1: none.
  5: list<i64> confirmed_age_ms,
  // Where the sender runs.
  6: optional string data_centre,
  // The lowest ranks of instances that the sender knows to live, and how long
  // ago each was heard by anyone; parallel lists.
  7: optional list<i32> low_ranks,
  8: optional list<i32> low_ages_ms,
  // The sender's own calls to the store fail.
  9: optional bool out_of_touch,
  // The sender reaches replicas and opens tunnels to them for its peers.
  10: optional bool opens_tunnels,
  // The epoch in which the sender counts the fleet, the number of instances
  // that it counted in the one before, and, in some digests, the bitmap of the
  // instances that it has heard of in this one.
  11: optional i32 count_epoch,
  12: optional i32 counted_instances,
  13: optional binary heard_slots,
}

// Running and waiting requests of replicas by their own counts, as the sender
// last heard of them; parallel lists. A replica is named by 31 bits of a hash.
struct ReplicaLoads {
  1: list<i32> replica_hashes,
  2: list<i32> running,
  3: list<i32> waiting,
  4: list<i32> ages_ms,
  // How long work takes on the replica's machine, 100 as usual; 0 where the
  // replica does not say. Absent if none does.
  5: optional list<i32> work_times_percent,
}

// How much longer work takes at replicas than at an average one of its service
// and version; parallel lists. A replica is named as in ReplicaLoads.
struct ReplicaSpeeds {
  1: list<i32> replica_hashes,
  // Hundredths of the natural logarithm of the factor.
  2: list<i32> slowness_centilog,
  // Hundredths of an answer, after decay at the time of sending.
  3: list<i32> weight_centi,
  4: list<i32> ages_ms,
}

// What teams ask for and get at the sender: all of it, in parallel lists. A
// team is named by 31 bits of a hash.
struct TeamDemands {
  1: string sender_id,
  // 31-bit hashes of service, priority and team.
  2: list<i32> team_hashes,
  // Thousandths of a unit of cost a second.
  3: list<i32> asked_milli_per_s,
  4: list<i32> admitted_milli_per_s,
}

// The reading of prompts that the sender waits for at replicas: all of it, in
// parallel lists. A replica is named as in ReplicaLoads.
struct ReplicaBacklogs {
  1: string sender_id,
  2: list<i32> replica_hashes,
  3: list<i32> urgent_ms,
  4: list<i32> later_ms,
}

// What an instance learnt in the course of an order to roll out.
struct RollOutNews {
  1: string sender_id,
  2: string service_name,
  3: i64 order_id,
  // Digests of sessions that were under way on the old version.
  4: list<i64> held_sessions,
  // All that the sender saw of the new version's answers, as JSON.
  5: optional binary evidence,
}

// Asks for what changed in a table after a revision, piece by piece.
struct TablePull {
  1: string table_name,
  2: i64 after_revision,
  // Every value is to be whole: the asker lacks a row that steps start from.
  3: optional bool whole_values,
  // Of the content whose first pieces the asker has, and how much that is.
  4: optional i64 content_hash,
  5: optional i32 first_byte,
  // Of the keys and versions of the asker's rows. A sender with the same rows
  // sends none, only its revision.
  6: optional i64 rows_hash,
}

// A piece of what `table_replication/pages` makes of rows: those that changed,
// or all of them where the sender keeps too few deletions.
struct TablePiece {
  1: i64 revision,
  2: bool whole,
  // For how much longer the sender takes no missing row for a deletion: the
  // store was away, and entries lapse meanwhile.
  3: i64 settle_ms,
  4: i64 content_hash,
  5: i32 content_bytes,
  // Not what was asked for where the sender's content is another one.
  6: i32 first_byte,
  7: binary data,
  // The asker's rows are the sender's; the content has none.
  8: optional bool same_rows,
}

// The sender has a newer configuration in force than the store has.
struct ConfigurationNews {
  1: string sender_address,
  2: i64 version,
}

// Asks for the configuration that the receiver has in force.
struct ConfigurationPull {
  // The one that the sender has; 0: none.
  1: i64 known_version,
}

struct ConfigurationPage {
  // 0: none.
  1: i64 version,
  // The sender admits requests by it.
  2: bool proven,
  // The operator's text, compressed; absent if it is not newer than the known
  // one.
  3: optional binary text,
}

// A request under which replicas have ended; ends are parallel lists. A replica
// is named as in ReplicaLoads.
struct CrashSuspect {
  // Of path, caller and body, or of a part of a prompt.
  1: binary identity,
  2: list<i32> replica_hashes,
  // The replica's answer had begun.
  3: list<bool> begun,
  4: list<i32> ages_ms,
  // Since a replica last answered it; absent if none has.
  5: optional i32 cleared_age_ms,
  // Since it was sent on trial; absent if it was not.
  6: optional i32 tried_age_ms,
  // It is a part of a prompt; absent for a request.
  7: optional bool is_part,
  // Of a part: the smallest hashes of the requests that were lost with it.
  8: optional list<i32> request_hashes,
  // How often it was sent on trial; absent for never.
  9: optional i32 tries,
  // Since the replicas were sent it, parallel to `ages_ms`; -1: not known.
  10: optional list<i32> sent_ages_ms,
}

struct CrashSuspects {
  1: list<CrashSuspect> suspects,
}

// What replicas ask of all instances together, as the sender last heard of it;
// parallel lists. A replica is named as in ReplicaLoads.
struct ReplicaRateLimits {
  1: list<i32> replica_hashes,
  // Thousandths of a request a second; 0 where a former limit has ended.
  2: list<i32> limits_milli_per_s,
  3: list<i32> ages_ms,
}

// Replicas that said in an answer that they leave, and how long ago that was
// heard; parallel lists. A replica is named as in ReplicaLoads.
struct LeavingReplicas {
  1: list<i32> replica_hashes,
  2: list<i32> ages_ms,
}

// Asks the receiver to connect to a replica. Once the reply says that it did,
// the connection carries nothing but the replica's: bytes as they are towards
// it, and pieces from it, each after its length in four bytes. A piece of no
// length is the replica's end; an end without one is a break.
struct TunnelOpen {
  1: string address,
}

// The number of an outcome of `tunnels/outcomes`.
struct TunnelReply {
  1: i32 outcome,
}

// Asks the senders of some limited replicas for what they don't use of their
// shares. A replica is named as in ReplicaLoads.
struct ShareAsk {
  1: string instance_id,
  2: list<i32> replica_hashes,
}

// How many requests within a share's window the receiver may send in place of
// the sender, for a second; parallel lists.
struct ShareGrant {
  1: string instance_id,
  2: list<i32> replica_hashes,
  3: list<i32> requests,
}

union Body {
  1: Empty empty,
  2: Failure failure,
  3: ConfigDigest config_digest,
  4: ConfigPull config_pull,
  5: ConfigUpdate config_update,
  6: InForceReport in_force_report,
  7: LedgerAppend ledger_append,
  8: LedgerResults ledger_results,
  9: ExposureTake exposure_take,
  10: ExposureGrant exposure_grant,
  11: LoadDigest load_digest,
  12: EventsPull events_pull,
  13: EventsPage events_page,
  14: Probe probe,
  15: ProbeAck probe_ack,
  16: MemberTable member_table,
  17: LoadedPull loaded_pull,
  18: LoadedPage loaded_page,
  19: TablesDigest tables_digest,
  20: TablePull table_pull,
  // 21 was a page in one piece.
  22: ReplicaLoads replica_loads,
  23: ReplicaBacklogs replica_backlogs,
  24: RollOutNews roll_out_news,
  25: TablePiece table_piece,
  26: CrashSuspects crash_suspects,
  27: ReplicaRateLimits replica_rate_limits,
  28: LeavingReplicas leaving_replicas,
  29: ReplicaSpeeds replica_speeds,
  30: TeamDemands team_demands,
  31: TunnelOpen tunnel_open,
  32: TunnelReply tunnel_reply,
  33: ShareAsk share_ask,
  34: ShareGrant share_grant,
  35: ConfigurationNews configuration_news,
  36: ConfigurationPull configuration_pull,
  37: ConfigurationPage configuration_page,
}

// One frame on a connection, or one datagram.
struct Envelope {
  1: i64 sequence,
  2: Body body,
  // Absent on replies; a request without it wants no reply.
  3: optional bool wants_reply,
  4: optional string credential,
}
