#ifndef VERBENALEAD_DECIDE_CLAIM_BATCH_H_
#define VERBENALEAD_DECIDE_CLAIM_BATCH_H_

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "decide/claim_action.h"
#include "decide/claim_work.h"

namespace verbenalead::decide {

/// Limit of the table service on one transaction.
constexpr size_t kMaxGroupItems = 100;
/// The service takes 4 MB in one transaction; recorded outcomes are up to
/// 64 KB, so a hundred would not fit. A quarter leaves room for encoding.
constexpr size_t kMaxGroupBytes = size_t{1} << 20;
/// Groups under way at once: enough that one slow answer doesn't hold up
/// everybody, few enough that a dead table isn't flooded.
constexpr size_t kMaxGroupsInFlight = 4;
/// Transactions a second that all entries together may start. The table takes
/// several hundred writes a second, and configuration needs its part.
constexpr uint32_t kGroupsPerSecond = 300;
/// Reads started for each interval between groups: 1,500 a second over all
/// entries, of the two thousand that the table takes. An outage leaves hundreds
/// of works in doubt at each entry; read all at once, they would hold the table
/// down when it comes back.
constexpr size_t kReadsPerInterval = 5;
/// A read that failed is tried again after this.
constexpr Duration kReadAgainAfter = 100ms;
/// The least time until the next Tick() while something waits.
constexpr Duration kLeastWake = 5ms;
/// After this many groups in a row without an answer the table counts as down:
/// new claims are refused at once instead of waiting for their timeouts.
constexpr uint32_t kFailuresUntilDown = 3;
constexpr Duration kDownFor = 1s;
/// For how long a claim that was given up is fenced off in the background.
constexpr Duration kFenceFor = std::chrono::seconds(60);

/// Groups the writes about idempotency keys of one entry into transactions.
///
/// Made for 19,000 calls a second of which any share may be non-idempotent,
/// against a table that takes several hundred writes a second: one transaction
/// for each would refuse nearly all of them. The promise that it keeps: of all
/// claims of a key, over all entries, at most one holds at a time, and one that
/// was not released holds for good.
struct ClaimBatchState {
  /// Least time between the starts of two groups: see GroupInterval().
  Duration m_interval = 25ms;
  std::deque<uint64_t> m_waiting;
  std::map<uint64_t, ClaimWork> m_works;
  /// Group -> its works.
  std::map<uint64_t, std::vector<uint64_t>> m_groups;
  /// Works to be read back, and from when.
  std::multimap<TimePoint, uint64_t> m_reads;
  TimePoint m_next_group{};
  TimePoint m_next_reads{};
  uint64_t m_last_id = 0;
  uint32_t m_failures = 0;
  TimePoint m_down_until{};
};

enum class GroupResult {
  kCommitted,
  kConflict,  ///< A condition did not hold: nothing was written.
  kNotSent,   ///< Nothing was written, and nothing will be.
  kLost,      ///< No answer: it may have been written, or may yet be.
};

/// The share of kGroupsPerSecond for one of `entries` entries, as an interval.
Duration GroupInterval(size_t entries);

/// Takes `work` in; returns its id. Tick() has to follow.
uint64_t Submit(ClaimBatchState& state, ClaimWork work);
/// What is due now.
std::vector<ClaimAction> Tick(ClaimBatchState& state, TimePoint now);
std::vector<ClaimAction> GroupEnded(ClaimBatchState& state,
                                    uint64_t group,
                                    GroupResult result,
                                    TimePoint now);
/// `work`'s key was read: the item, or nullopt if there is none.
std::vector<ClaimAction> ReadEnded(ClaimBatchState& state,
                                   uint64_t work,
                                   const std::optional<ClaimItem>& item,
                                   TimePoint now);
/// The read that ReadEnded() would have answered came to nothing.
std::vector<ClaimAction> ReadFailed(ClaimBatchState& state,
                                    uint64_t work,
                                    TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CLAIM_BATCH_H_
