#ifndef VERBENALEAD_PEER_HEADER_NAMES_H_
#define VERBENALEAD_PEER_HEADER_NAMES_H_

namespace verbenalead::peer {

// Header fields of an attempt, from entry to target.
constexpr char kRequestId[] = "x-request-id";
/// Names the call; unique, where the request id is the caller's own.
constexpr char kCall[] = "x-call";
constexpr char kAttempt[] = "x-attempt";
constexpr char kIncarnation[] = "x-incarnation";
constexpr char kOrganisation[] = "x-organisation";
constexpr char kPath[] = "x-path";
constexpr char kMethod[] = "x-method";
/// Digest of the version that the attempt was placed for.
constexpr char kDigest[] = "x-model-digest";
/// Milliseconds that the caller still waits.
constexpr char kDeadline[] = "x-deadline-ms";
/// The attempt is to be refused, as not run, if more than this many run there.
constexpr char kMaxRunning[] = "x-max-running";
/// The sender's configuration revision: whoever is behind learns it here.
constexpr char kRevision[] = "x-config-revision";
/// The configuration in this answer is what the table held a moment ago.
constexpr char kFromTable[] = "x-config-from-table";
/// Names the content of a target's report, so that only news is sent again.
constexpr char kReportMark[] = "x-report-mark";

// Field of all messages between our processes that change something.
/// Proof that the sender holds the peers' key.
constexpr char kAuthorization[] = "x-peer-authorization";

/// The reason by which a target refuses for kMaxRunning.
constexpr char kBusier[] = "target_busier";
/// The reason by which it refuses for want of room.
constexpr char kFull[] = "target_full";

// Header and trailer fields of the answer.
constexpr char kOutcome[] = "x-outcome";
constexpr char kReason[] = "x-reason";
constexpr char kVersion[] = "x-model-version";
constexpr char kTarget[] = "x-target";
/// Attempts that ran at the target when this one came: fresher than a report.
constexpr char kRunning[] = "x-running";
constexpr char kAttempts[] = "x-attempts";
constexpr char kLength[] = "x-length";
constexpr char kSha256[] = "x-sha256";

}  // namespace verbenalead::peer

#endif  // VERBENALEAD_PEER_HEADER_NAMES_H_
