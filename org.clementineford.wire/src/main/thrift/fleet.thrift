// Messages between entry VMs and endpoint VMs on the platform. A datagram holds one
// FleetDatagram; the bodies of HTTP calls between the VMs are the other structs.
// All ages are milliseconds on the sender's monotonic clock.
namespace java org.clementineford.wire

// An entry VM that wants the load reports of an engine.
struct ReportSubscription { 1: string vm }

// A version of weights that was named, and may not have been required yet.
struct NamedVersion {
  1: i64 version,
  2: i32 ageMs, // time since it was named; -1 if before the sender's start
}

// Load and weights of the engine on the sender's VM.
struct EngineReport {
  1: i64 incarnation, // start of the engine, Unix ms; 0 if the engine does not state it
  2: i64 weightVersion, // version that answers requests; 0 for none
  3: i64 targetVersion, // newest version that the sender knows; 0 for none
  4: i32 targetAgeMs, // time since the target was named; -1 if before the sender's start
  5: bool changingVersion, // requests should go elsewhere until this is false
  6: i32 running,
  7: i32 waiting,
  8: i64 memoryUsed, // tokens
  9: i64 memoryTotal, // tokens
  10: double pace, // above 1 if the engine is slower than its profile
  12: bool leaving, // the engine says that it is leaving
  11: i64 number, // increases with each report of one incarnation of the sender
  13: list<NamedVersion> earlierTargets, // versions named before the target, each with a bound of its own
}

// Chunks of one version that the sender holds and serves.
struct ChunkHoldings {
  1: string model,
  2: i64 version,
  3: i32 chunks,
  4: binary bitmap,
}

// A crash of an engine while it held a request with a certain part of a prompt.
struct PromptCrash {
  1: i64 engine, // fingerprint of the engine's ID and incarnation
  2: i64 request, // fingerprint of the ID of the request
  3: i64 ageMs,
}

// What is known of a part of prompts that was in requests of crashed engines.
struct SuspectRecord {
  1: string serviceName,
  2: string suspect, // ID of a part of prompts, or identity of a request
  3: list<PromptCrash> crashes,
  5: bool wholeRequest, // the suspect is a request
  4: optional i64 soundAgeMs, // since an engine last answered a prompt with it; absent if never
}

struct SuspectRecords {
  1: i64 digest, // of all records of the sender
  2: list<SuspectRecord> records, // some of them
  3: bool replyRequested, // the receiver should send its records if its digest differs
}

// Asks an observer for the positions of its copies of platform objects.
struct PositionsRequest { 1: i64 question }

// Position up to which the sender's copy of one kind of platform objects is complete.
struct CopyPosition {
  1: string kind,
  2: i64 era,
  3: i64 revision,
  4: i64 provenAgeMs, // the copy was current this long ago
}

struct CopyPositions {
  1: bool observing, // the sender watches the platform
  2: list<CopyPosition> positions,
  3: optional i64 question, // the question that this answers; absent in an announcement
}

union FleetDatagram {
  1: ReportSubscription subscription,
  2: EngineReport report,
  3: ChunkHoldings holdings,
  4: SuspectRecords suspects,
  5: PositionsRequest positionsRequest,
  6: CopyPositions positions,
}

struct DirectoryObject {
  1: string name,
  2: i64 revision,
  3: binary content, // as the platform encodes it
  4: i64 operatorVersion, // 0 if operators do not version it
  5: optional i64 keptMs, // the platform lacks it, and the sender drops it after this time
}

struct DirectoryObjects { 1: list<DirectoryObject> objects }

// The sender's copy of one kind of platform objects.
struct DirectoryCopy {
  1: string kind,
  2: i64 revision, // of the platform when this copy was current
  3: i64 provenAgeMs, // the copy was current this long ago
  4: list<DirectoryObject> objects, // absent if the copy is not newer than the receiver's
  5: i64 era, // of the platform's history in which the revision counts; 0 if not known
  // Objects that operators versioned higher than those of the receiver; absent if objects is set.
  6: list<DirectoryObject> higherVersions,
  // In place of objects for a receiver that asks for it: deflated DirectoryObjects.
  7: binary compressedObjects,
}

struct DirectoryCopies {
  1: list<DirectoryCopy> copies,
  2: list<string> entryVms, // addresses of the entry VMs that the sender knows
}
