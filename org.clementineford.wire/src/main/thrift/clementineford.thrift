// Messages between the processes of clementineford.
// All times are milliseconds. A "tick" is the sender's monotonic clock and is
// comparable only with other ticks of the same incarnation of the same VM.
namespace java org.clementineford.wire

enum FrameKind { OPEN = 1, DATA = 2, LAST = 3, CANCEL = 4, HEARTBEAT = 5, HELLO = 6 }
enum VmRole { ENTRY = 1, ENDPOINT = 2, CLIENT = 3 }
enum MemberPhase { ALIVE = 1, SUSPECT = 2, LEAVING = 3, DEAD = 4 }
enum RunState { NOT_RUN = 1, UNKNOWN = 2, RAN = 3 }
enum RunPhase { REVOKED = 1, RUNNING = 2, FINISHED = 3, FORGOTTEN = 4 }
enum ChunkRefusalKind { BUSY = 1, ABSENT = 2, OTHER_MANIFEST = 3 }

struct VmIdentity {
  1: string vm,
  2: VmRole role,
  3: string dataCentre,
  4: string region,
  5: i64 incarnation,
  6: string address, // host:port of the peer listener
}

struct Hello { 1: VmIdentity sender }
struct Heartbeat { 1: i64 tick }
struct Failure { 1: string kind, 2: string message }
struct Acknowledgement { }

// Configuration
struct RevisionAnnounce {
  1: i64 revision,
  2: VmIdentity sender,
}
struct SectionsPull { 1: i64 sinceRevision }
struct SectionText {
  1: string name,
  2: string owner,
  3: i64 revision,
  4: optional string text, // absent when the section was removed
  5: string changeIdentity,
}
struct Sections { 1: i64 revision, 2: list<SectionText> sections, 3: bool complete }

// Membership
struct MemberState {
  1: VmIdentity member,
  2: MemberPhase phase,
  3: i64 statementNumber,
  4: i64 revisionInForce,
  5: optional list<string> accusers, // VMs that could not reach a suspect
}
struct MembersExchange {
  1: VmIdentity sender,
  2: list<MemberState> members,
  3: i64 revision,
  4: i64 tableDigest, // equal digests mean equal tables
  5: bool wantAll, // asks for the whole table; set by a process that joins
}

// Requests
struct Dispatch {
  1: string requestId,
  2: string attemptId,
  3: string clientAccount,
  4: optional string idempotencyKey,
  5: string requestDigest,
  6: bool idempotent,
  7: bool urgent,
  8: i64 estimatedCostTokens,
  9: i64 timeoutMs,
  10: i64 targetIncarnation,
  11: i64 admissionTick,
  12: string backEnd,
  13: optional string model,
  14: string method,
  15: string path,
  16: map<string, string> headers,
  17: binary body,
  18: bool stream,
  19: optional string prefixHash,
}
struct AnswerHead {
  1: string requestId,
  2: string attemptId,
  3: i32 status,
  4: map<string, string> headers,
  5: optional string modelVersion,
  6: optional string weightsDigest,
}
struct AnswerPart { 1: string requestId, 2: i64 offset, 3: binary bytes }
struct AnswerEnd { 1: string requestId, 2: i64 length, 3: i64 crc32c, 4: i64 actualCostTokens }
struct Refusal {
  1: string requestId,
  2: string kind,
  3: RunState run,
  4: string message,
  5: i64 retryAfterMs,
}
struct ReportOrRevoke {
  1: string attemptId,
  2: string clientAccount,
  3: optional string idempotencyKey,
  4: i64 targetIncarnation,
  5: bool waitForEnd,
}
struct RunReport {
  1: string attemptId,
  2: RunPhase phase,
  3: optional AnswerHead head,
  4: optional binary body,
}
struct BackEndLoad {
  1: string backEnd,
  2: optional string model,
  3: optional string modelVersion,
  4: optional string weightsDigest,
  5: i32 running,
  6: i32 queued,
  7: i64 queuedCostTokens,
  8: i32 slots,
  9: i64 ageMs,
  10: bool healthy,
}
struct LoadReport { 1: VmIdentity sender, 2: list<BackEndLoad> backEnds, 3: bool leaving }

// Weights
struct ManifestFetch { 1: string model, 2: string version }
struct ManifestBytes { 1: binary manifest }
struct ChunkMap {
  1: VmIdentity sender,
  2: string model,
  3: string version,
  4: string manifestDigest,
  5: binary bitmap,
  6: bool whole,
}
struct ChunkFetch { 1: string manifestDigest, 2: i32 chunk, 3: VmIdentity sender }
struct ChunkBytes { 1: string manifestDigest, 2: i32 chunk, 3: i64 offset, 4: binary bytes }
struct ChunkRefusal { 1: i32 chunk, 2: ChunkRefusalKind kind, 3: i64 retryAfterMs }
struct OriginPermit {
  1: string manifestDigest,
  2: i64 documentRevision,
  3: i64 fencingNumber,
  4: list<i32> chunks,
  5: string holder,
}
struct ActivateOrder {
  1: string model,
  2: string version,
  3: string manifestDigest,
  4: i64 documentRevision,
  5: i64 fencingNumber,
  6: string holder,
}
struct OrderReply {
  1: bool accepted,
  2: i64 highestFencingNumber,
  3: i64 highestDocumentRevision,
  4: string reason,
}

// Observation
struct TimelineFetch { 1: i64 afterSequence, 2: i32 limit }
struct TimelineEvent {
  1: i64 physicalMs,
  2: i32 logical,
  3: string vm,
  4: i64 incarnation,
  5: i64 sequence,
  6: string kind,
  7: map<string, string> attributes,
}
struct TimelineEvents { 1: list<TimelineEvent> events, 2: i64 droppedBefore }
struct StatusFetch { }
struct ModelStatus {
  1: string model,
  2: optional string servingVersion,
  3: optional string servingDigest,
  4: optional string targetVersion,
  5: i32 chunksHeld,
  6: i32 chunksTotal,
  7: i64 bytesFromOrigin,
  8: i64 bytesFromPeers,
  9: i64 bytesRefetched,
}
struct Status {
  1: VmIdentity member,
  2: i64 revisionInForce,
  3: list<ModelStatus> models,
  4: bool leaving,
  5: i64 inForceSinceMs,
}

union Payload {
  1: Hello hello,
  2: Heartbeat heartbeat,
  3: Failure failure,
  4: Acknowledgement acknowledgement,
  10: RevisionAnnounce revisionAnnounce,
  11: SectionsPull sectionsPull,
  12: Sections sections,
  13: MembersExchange membersExchange,
  20: Dispatch dispatch,
  21: AnswerHead answerHead,
  22: AnswerPart answerPart,
  23: AnswerEnd answerEnd,
  24: Refusal refusal,
  25: ReportOrRevoke reportOrRevoke,
  26: RunReport runReport,
  27: LoadReport loadReport,
  40: ManifestFetch manifestFetch,
  41: ManifestBytes manifestBytes,
  42: ChunkMap chunkMap,
  43: ChunkFetch chunkFetch,
  44: ChunkBytes chunkBytes,
  45: ChunkRefusal chunkRefusal,
  46: OriginPermit originPermit,
  47: ActivateOrder activateOrder,
  48: OrderReply orderReply,
  60: TimelineFetch timelineFetch,
  61: TimelineEvents timelineEvents,
  62: StatusFetch statusFetch,
  63: Status status,
}

struct Frame {
  1: required i64 exchange,
  2: required FrameKind kind,
  3: optional Payload payload,
  // Reading of the sender's hybrid logical clock. Parts in the middle of a stream carry none.
  4: optional i64 clockPhysicalMs,
  5: optional i32 clockLogical,
}
