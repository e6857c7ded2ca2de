#ifndef VERBENALEAD_DECIDE_CLAIMS_CLAIM_BATCH_H_
#define VERBENALEAD_DECIDE_CLAIMS_CLAIM_BATCH_H_

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "decide/claims/claim_action.h"
#include "decide/claims/claim_operation.h"

namespace verbenalead::decide {

/// Limit of the table service on the items of one transaction.
constexpr size_t kMaxGroupItems = 100;
/// The table service accepts 4 MB in one transaction. Recorded outcomes have up
/// to 64 KB each, so a hundred of them would exceed that. A quarter of the
/// limit leaves room for the encoding.
constexpr size_t kMaxGroupBytes = size_t{1} << 20;
/// Limit on concurrent transactions. With fewer, one slow answer would delay
/// all other claims; with more, an unresponsive table would be overloaded.
constexpr size_t kMaxGroupsInFlight = 4;
/// Limit on transactions started per second by all entries together. The table
/// sustains several hundred writes per second, and configuration updates need
/// some of these.
constexpr uint32_t kGroupsPerSecond = 300;
/// Reads started per interval between groups. Over all entries these are 1,500
/// reads per second, of the two thousand that the table sustains. An outage
/// leaves hundreds of operations in doubt at each entry; if all were read at
/// once, they would overload the table as soon as it recovers.
constexpr size_t kReadsPerInterval = 5;
/// Delay before a failed read is retried.
constexpr Duration kReadRetryDelay = 100ms;
/// Minimum delay until the next Tick() while operations are pending.
constexpr Duration kMinTickDelay = 5ms;
/// After this many consecutive groups that were not sent or not answered, the
/// table is treated as unavailable: new claims are refused at once instead of
/// waiting for their timeouts.
constexpr uint32_t kMaxConsecutiveFailures = 3;
/// How long the table is treated as unavailable after the last failed group.
constexpr Duration kTableUnavailableFor = 1s;
/// How long the batch tries to prevent or release a claim that it reported as
/// unavailable but whose write may still take effect.
constexpr Duration kFenceOffTimeout = std::chrono::seconds(60);

/// Groups one entry's writes of idempotency keys into transactions.
///
/// A deployment serves 19,000 calls per second, any share of which may be
/// non-idempotent, while the table sustains several hundred writes per second.
/// With one transaction per call, nearly all of these calls would be refused.
/// Invariant: of all claims of a key, over all entries, at most one is in force
/// at a time, and a claim that is not released stays in force for good.
struct ClaimBatchState {
  /// Minimum time between the starts of two groups; see GroupInterval().
  Duration m_interval = 25ms;
  /// Operations that wait for a group.
  std::deque<uint64_t> m_waiting;
  std::map<uint64_t, ClaimOperation> m_pending_operations;
  /// Transactions in flight: group to its operations.
  std::map<uint64_t, std::vector<uint64_t>> m_groups;
  /// Operations whose key has to be read back, by the earliest time of the
  /// read.
  std::multimap<TimePoint, uint64_t> m_reads;
  TimePoint m_next_group{};
  TimePoint m_next_reads{};
  uint64_t m_last_id = 0;
  /// Consecutive groups that were not sent or not answered.
  uint32_t m_failures = 0;
  TimePoint m_unavailable_until{};
};

enum class GroupResult {
  kCommitted,
  kConflict,  ///< A condition did not hold; nothing was written.
  kNotSent,   ///< Nothing was or will be written.
  kLost,      ///< No answer; the group may have been or may yet be written.
};

/// Returns the interval between groups with which each of `entries` entries
/// uses an equal share of kGroupsPerSecond.
Duration GroupInterval(size_t entries);

/// Queues `operation` and returns its id. The caller has to call Tick()
/// afterwards.
uint64_t Submit(ClaimBatchState& state, ClaimOperation operation);
/// Returns the actions due at `now`.
std::vector<ClaimAction> Tick(ClaimBatchState& state, TimePoint now);
/// Reports the result of transaction `group`; returns the next actions.
std::vector<ClaimAction> GroupEnded(ClaimBatchState& state,
                                    uint64_t group,
                                    GroupResult result,
                                    TimePoint now);
/// Reports the item read for the key of `operation`, or nullopt if the table
/// has none; returns the next actions.
std::vector<ClaimAction> ReadEnded(ClaimBatchState& state,
                                   uint64_t operation,
                                   const std::optional<ClaimItem>& item,
                                   TimePoint now);
/// Reports that the read for `operation` failed; returns the next actions.
std::vector<ClaimAction> ReadFailed(ClaimBatchState& state,
                                    uint64_t operation,
                                    TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CLAIMS_CLAIM_BATCH_H_
