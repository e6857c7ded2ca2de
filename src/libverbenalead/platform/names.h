#ifndef VERBENALEAD_PLATFORM_NAMES_H_
#define VERBENALEAD_PLATFORM_NAMES_H_

namespace verbenalead::platform {

// Header fields, in lower case as wire::Headers holds them.
inline constexpr char kRequestId[] = "x-verbenalead-request-id";
/// Milliseconds that the sender will wait from now on.
inline constexpr char kTimeLeft[] = "x-verbenalead-deadline-ms";
/// Only the replica with this id may run the request.
inline constexpr char kExpectReplica[] = "x-verbenalead-expect-instance";
/// Only a replica with these weights may run the request.
inline constexpr char kExpectWeights[] = "x-verbenalead-expect-version";
/// The organisation on whose behalf a request is made.
inline constexpr char kOrganisation[] = "x-verbenalead-tenant";
/// Present: the replica states that it did not run the request.
inline constexpr char kNotExecuted[] = "x-verbenalead-not-executed";
/// The replica's signature under its answer.
inline constexpr char kStamp[] = "x-verbenalead-server-stamp";
/// One number, despite its plural: the version of the weights.
inline constexpr char kWeightVersion[] = "x-verbenalead-weight-versions";
/// Prompt tokens and most output tokens, as "1460,80".
inline constexpr char kTokenUsage[] = "x-verbenalead-token-usage";
/// The caller's guess of the output tokens.
inline constexpr char kLengthHint[] = "x-verbenalead-length-hint";
/// Place in a replica's queue; 0 goes first, 5 is usual.
inline constexpr char kQueueRank[] = "x-verbenalead-request-priority";
inline constexpr char kKey[] = "api-key";
inline constexpr char kLastEventId[] = "last-event-id";

// Tables of the store and keys in them.
inline constexpr char kOperatorTable[] = "op";
inline constexpr char kReplicaTable[] = "servers";
inline constexpr char kConfigKey[] = "config";
inline constexpr char kWeightsKeyPrefix[] = "version/";
/// Ours: one row for each entry, in the part that its data centre names.
inline constexpr char kEntryTable[] = "entries";

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_NAMES_H_
