#ifndef VERBENALEAD_PLATFORM_NAMES_H_
#define VERBENALEAD_PLATFORM_NAMES_H_

namespace verbenalead::platform {

// Header fields, in lower case as wire::Headers holds them.
inline constexpr char kRequestId[] = "x-verbenalead-request-id";
/// Milliseconds for which the sender waits for the answer, counted from the
/// receipt of the request.
inline constexpr char kTimeLeft[] = "x-verbenalead-deadline-ms";
/// Only the replica with this id may run the request.
inline constexpr char kExpectReplica[] = "x-verbenalead-expect-instance";
/// Only a replica with these weights may run the request.
inline constexpr char kExpectWeights[] = "x-verbenalead-expect-version";
/// The organisation that a request is made for.
inline constexpr char kOrganisation[] = "x-verbenalead-tenant";
/// Present: the replica states that it did not run the request.
inline constexpr char kNotExecuted[] = "x-verbenalead-not-executed";
/// The replica's signature of its answer.
inline constexpr char kStamp[] = "x-verbenalead-server-stamp";
/// The version of the weights, a single number despite the plural in the name.
inline constexpr char kWeightVersion[] = "x-verbenalead-weight-versions";
/// Number of prompt tokens and greatest number of output tokens, as "1460,80".
inline constexpr char kTokenUsage[] = "x-verbenalead-token-usage";
/// The parts of the prompt in order, as "ID:TOKENS,ID:TOKENS". Requests share
/// parts, except the last one.
inline constexpr char kPromptParts[] = "x-verbenalead-prompt-prefix";
/// The caller's estimate of the number of output tokens.
inline constexpr char kLengthHint[] = "x-verbenalead-length-hint";
/// Rank in a replica's queue; 0 is served first, 5 is the default.
inline constexpr char kQueueRank[] = "x-verbenalead-request-priority";
/// Requests per second that the replica takes from all entries together, a
/// decimal number. The platform writes most of its own fields with a prefix and
/// some without, so both spellings are read.
inline constexpr char kRateLimit[] = "server-limit";
inline constexpr char kPrefixedRateLimit[] = "x-verbenalead-server-limit";
/// Milliseconds for which the replica is still cold. Both spellings are read as
/// well.
inline constexpr char kColdLeft[] = "cold-ms";
inline constexpr char kPrefixedColdLeft[] = "x-verbenalead-cold-ms";
/// "1": the replica shuts down soon. Both spellings are read as well.
inline constexpr char kLeaving[] = "server-leaving";
inline constexpr char kPrefixedLeaving[] = "x-verbenalead-server-leaving";
/// Seconds, possibly with a fraction.
inline constexpr char kRetryAfter[] = "retry-after";
inline constexpr char kKey[] = "api-key";
/// In all answers of the store: a number that rises by one each time the store
/// comes back from a copy.
inline constexpr char kStoreEra[] = "store-era";
inline constexpr char kLastEventId[] = "last-event-id";

// Tables of the store and keys in them.
inline constexpr char kOperatorTable[] = "op";
inline constexpr char kReplicaTable[] = "servers";
inline constexpr char kConfigKey[] = "config";
inline constexpr char kWeightsKeyPrefix[] = "version/";
/// Followed by a data centre that the operator empties while the row exists.
inline constexpr char kEvacuationKeyPrefix[] = "evacuate/";
/// A table of this project rather than of the platform: one row for each entry,
/// in the part of the table named after the entry's data centre.
inline constexpr char kEntryTable[] = "entries";
/// A table of this project, and its only part: one row for each data centre,
/// with the dates of declared weights.
inline constexpr char kDeclarationTable[] = "declarations";

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_NAMES_H_
