// Messages between the processes of the system. Every message is sent in one
// Frame, preceded by a four-byte big-endian length. Times are in seconds unless
// the field name says otherwise. A time is valid only in the process that set
// it; others may only echo it.
namespace py arbutus

// The replicated log.

struct Entry {
  1: required i64 term,
  2: required binary command,
}

struct VoteRequest {
  1: required i64 term,
  2: required string candidate,
  3: required i64 last_index,
  4: required i64 last_term,
  5: required bool trial, // pre-vote: does not raise the term of any member
}

struct VoteReply {
  1: required i64 term,
  2: required string voter,
  3: required bool granted,
  4: required bool trial,
  5: required i64 asked_term,
}

struct AppendRequest {
  1: required i64 term,
  2: required string leader,
  3: required i64 prev_index,
  4: required i64 prev_term,
  5: required list<Entry> entries,
  6: required i64 commit,
  7: required double sent_at, // on the leader's clock; echoed in the reply
}

struct AppendReply {
  1: required i64 term,
  2: required string follower,
  3: required bool accepted,
  4: required i64 match_index, // if not accepted: the index to try next
  5: required double sent_at,
}

// The leader offers a snapshot; the receiver fetches pieces from any source.
struct SnapshotOffer {
  1: required i64 term,
  2: required string leader,
  3: required i64 last_index,
  4: required i64 last_term,
  5: required i64 total, // bytes
  6: required i64 checksum, // CRC-32 of the whole snapshot
  7: required list<string> sources,
}

struct PieceRequest {
  1: required string member,
  2: required i64 last_index,
  3: required i64 offset,
}

struct Piece {
  1: required string source,
  2: required i64 last_index,
  3: required i64 offset,
  4: required binary data, // empty if the source lacks the snapshot
}

// Announces the member at an address, also before it belongs to a group.
struct Hello {
  1: required string member,
  2: required string address,
  3: required string group, // empty until the member belongs to a group
  4: optional bool leaving, // the process is about to end
  5: optional i64 members_index, // log index of the membership in 6
  6: optional map<string, string> members, // committed, address by id
  7: optional string domain, // the member's failure domain
}

// Control: commands, leases and reads.

enum Status {
  OK = 1,
  NOT_LEADER = 2,
  UNAVAILABLE = 3,
  INVALID = 4,
}

struct Submit {
  1: required binary command,
}

struct SubmitReply {
  1: required Status status,
  2: optional binary result,
  3: optional string leader,
  4: optional string reason,
}

struct Sync {
  1: required string entry,
  2: required i64 incarnation,
  3: required i64 view_version,
  4: required i64 revision,
  5: required binary report, // JSON: traffic counts and observed upstreams
}

struct SyncReply {
  1: required Status status,
  2: optional i64 lease_ms,
  3: optional i64 view_version,
  4: optional binary view, // JSON, absent if the caller has this version
  5: optional string leader,
  6: optional string reason,
}

struct Read {
  1: required string query,
  2: optional string argument,
}

struct ReadReply {
  1: required Status status,
  2: optional binary result,
  3: optional string leader,
  4: optional string reason,
}

// Long poll by which an entry stays up to date. A control process replies at
// once if it has news for the entry, else after a timeout. Entries watch every
// control process.

struct Watch {
  1: required string entry,
  2: required i64 incarnation,
  3: required string session, // start of the control process that set `version`
  4: required i64 version, // last version of its directory that was received
  5: required i64 routes_version, // newest known version of the routes, see 7
  6: required binary report, // compressed JSON
  7: optional string exact_routes_version, // if 5 cannot hold it, or empty
}

struct WatchReply {
  1: required string session,
  2: required i64 version,
  3: required binary news, // compressed JSON
}

struct RoutesRequest {
  1: required i64 offset, // of the requested part
}

struct RoutesPart {
  1: required i64 version, // version of the routes it belongs to, see 4
  2: required i64 size, // in bytes, of the whole compressed configuration
  3: required binary data,
  4: optional string exact_version, // decimal, if 1 cannot hold it
}

// Asks for a permit to send one request to an endpoint that states a limit or
// warms up. The leader issues the permits of all entries.

struct PermitRequest {
  1: required string entry,
  2: required string endpoint,
  3: required i64 born_ms, // start of the endpoint, in Unix milliseconds
  4: required double rate_per_s, // its limit as the entry knows it
  5: required double statement_age_s, // age of the answer that stated it
  6: required double max_wait_s, // longest wait for a permit
  7: optional bool warms_up, // whether 4 holds for a warm-up; 5 is unused then
}

struct PermitReply {
  1: required Status status,
  2: required bool granted,
  3: required double wait_s, // until the permit is valid, or one is expected
  4: required i64 asking_entries, // entries that asked within the last seconds
}

// Asks for a slot of a brittle endpoint, and reports the ends of slots. The
// leader gives out the slots of all entries.

struct SlotRequest {
  1: required string entry,
  2: required i64 incarnation,
  3: required binary content, // JSON
}

struct SlotReply {
  1: required Status status,
  2: required string endpoint, // empty if no slot is free
}

// Between entries.

struct UpstreamNews {
  1: required list<binary> announcements, // JSON
}

// Asks an entry to connect to an endpoint on behalf of one that cannot. After a
// reply that says so, the connection carries the endpoint's bytes.

struct TunnelRequest {
  1: required string entry,
  2: required string address, // IP:port of the endpoint
}

struct TunnelReply {
  1: required bool opened,
  2: required string reason, // empty if opened
  3: required bool refused, // the endpoint's instance refused the connection
  4: required bool ask_another, // the failure is this entry's
}

struct CopyRequest {
  1: required string request_id,
  2: required string owner,
  3: required i64 owner_incarnation,
  4: required binary request, // JSON
}

struct CopyProgress {
  1: required string request_id,
  2: required i64 first_event,
  3: required list<binary> events,
  4: required bool finished,
  5: required bool failed,
}

// Transfers a request to the entry that its caller is now connected to.
struct TakeRequest {
  1: required string request_id,
}

struct TakeReply {
  1: required binary request, // JSON, empty if the request is unknown
  2: required list<binary> events,
  3: required bool finished,
}

struct Done {
  1: required bool ok,
}

struct Dump {
}

struct DumpReply {
  1: required binary state, // JSON
}

struct Ping {
}

union Body {
  1: VoteRequest vote_request,
  2: VoteReply vote_reply,
  3: AppendRequest append_request,
  4: AppendReply append_reply,
  5: SnapshotOffer snapshot_offer,
  6: PieceRequest piece_request,
  20: Piece piece,
  21: Hello hello,
  7: Submit submit,
  8: SubmitReply submit_reply,
  9: Sync sync,
  10: SyncReply sync_reply,
  11: Read read_request,
  12: ReadReply read_reply,
  13: UpstreamNews upstream_news,
  14: CopyRequest copy_request,
  15: CopyProgress copy_progress,
  16: Done done,
  17: Dump dump,
  18: DumpReply dump_reply,
  19: Ping ping,
  22: TakeRequest take_request,
  23: TakeReply take_reply,
  24: Watch watch,
  25: WatchReply watch_reply,
  26: RoutesRequest routes_request,
  27: RoutesPart routes_part,
  28: PermitRequest permit_request,
  29: PermitReply permit_reply,
  30: TunnelRequest tunnel_request,
  31: TunnelReply tunnel_reply,
  32: SlotRequest slot_request,
  33: SlotReply slot_reply,
}

struct Frame {
  1: required i64 call, // zero for one-way messages
  2: required bool reply,
  3: required Body body,
}
