#ifndef VERBENALEAD_PEER_HEADER_NAMES_H_
#define VERBENALEAD_PEER_HEADER_NAMES_H_

namespace verbenalead::peer {

// Header fields of an attempt, sent by an entry to a target.
constexpr char kRequestId[] = "x-request-id";
/// Identifies the call. Unlike the request id, which the caller may choose, it
/// is unique.
constexpr char kCall[] = "x-call";
constexpr char kAttempt[] = "x-attempt";
constexpr char kIncarnation[] = "x-incarnation";
constexpr char kOrganisation[] = "x-organisation";
constexpr char kPath[] = "x-path";
constexpr char kMethod[] = "x-method";
/// Digest of the model version for which the target was chosen.
constexpr char kDigest[] = "x-model-digest";
/// Time until the caller's deadline in milliseconds.
constexpr char kDeadline[] = "x-deadline-ms";
/// The target refuses the attempt as not run if it runs more attempts than
/// this.
constexpr char kMaxRunning[] = "x-max-running";
/// The sender's configuration revision, by which a receiver with an older one
/// detects that it is out of date.
constexpr char kRevision[] = "x-config-revision";
/// Set if the sender has just read the configuration in this answer from the
/// table.
constexpr char kFromTable[] = "x-config-from-table";
/// Identifies the content of a target's report, so that a report is sent again
/// only if it has changed.
constexpr char kReportMark[] = "x-report-mark";

// Header field of all messages between processes that change state.
/// Proof that the sender holds the shared key of the peers.
constexpr char kAuthorization[] = "x-peer-authorization";

/// The reason of a target that refuses an attempt because of kMaxRunning.
constexpr char kAboveMaxRunning[] = "target_busier";
/// The reason of a target that refuses an attempt because all its slots are
/// used.
constexpr char kFull[] = "target_full";

// Header and trailer fields of the answer.
constexpr char kOutcome[] = "x-outcome";
constexpr char kReason[] = "x-reason";
constexpr char kVersion[] = "x-model-version";
constexpr char kTarget[] = "x-target";
/// Number of attempts that ran at the target when this one arrived; more recent
/// than the target's last report.
constexpr char kRunning[] = "x-running";
constexpr char kAttempts[] = "x-attempts";
constexpr char kLength[] = "x-length";
constexpr char kSha256[] = "x-sha256";

/// All fields of this file. None is forwarded from a caller to a back end, nor
/// from a back end to a caller.
constexpr const char* kInternalFields[] = {
    kRequestId, kCall,      kAttempt,    kIncarnation,   kOrganisation,
    kPath,      kMethod,    kDigest,     kDeadline,      kMaxRunning,
    kRevision,  kFromTable, kReportMark, kAuthorization, kOutcome,
    kReason,    kVersion,   kTarget,     kRunning,       kAttempts,
    kLength,    kSha256};

}  // namespace verbenalead::peer

#endif  // VERBENALEAD_PEER_HEADER_NAMES_H_
