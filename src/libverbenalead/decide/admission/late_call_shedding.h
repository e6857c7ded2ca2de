#ifndef VERBENALEAD_DECIDE_ADMISSION_LATE_CALL_SHEDDING_H_
#define VERBENALEAD_DECIDE_ADMISSION_LATE_CALL_SHEDDING_H_

#include <map>
#include <set>
#include <string>

#include "base/time.h"
#include "decide/placement/pool_call.h"

namespace verbenalead::decide {

/// Decides whether calls of a service that can no longer meet their latency
/// objective are refused at once (load shedding).
///
/// Load: a pool above its capacity for several seconds, and callers that retry
/// once. Harm: a retry waited a quarter of a second for a slot, usually in
/// vain; if it got one, it was late all the same and took the slot from a
/// caller who could still have been on time. So while even calls that could be
/// on time find no slot, late calls are refused without a wait. If these could
/// use some data centres only, the others may have room, so only late calls
/// with the same limit are refused.
struct LateCallShedding {
  /// When a call that could have been on time was last refused, by the data
  /// centres that it could use; empty: all.
  std::map<std::set<std::string>, TimePoint> m_on_time_refused_at;

  friend bool operator==(const LateCallShedding&,
                         const LateCallShedding&) = default;
};

/// A pool that refused an on-time call within this time counts as still full.
constexpr Duration kSheddingHold = 1s;

/// Records that `call`, which could have been on time, was refused for lack of
/// a slot.
inline void NoteOnTimeRefusal(LateCallShedding& shedding,
                              const PoolCall& call,
                              TimePoint now) {
  std::erase_if(shedding.m_on_time_refused_at, [now](const auto& refusal) {
    return now - refusal.second >= kSheddingHold;
  });
  std::set<std::string> data_centers;
  if (call.m_data_centers)
    data_centers = *call.m_data_centers;
  shedding.m_on_time_refused_at[data_centers] = now;
}

/// Whether `call`, which is late, is refused at once.
inline bool ShedsLateCalls(const LateCallShedding& shedding,
                           const PoolCall& call,
                           TimePoint now) {
  const auto refused = [&](const std::set<std::string>& data_centers) {
    const auto found = shedding.m_on_time_refused_at.find(data_centers);
    return found != shedding.m_on_time_refused_at.end() &&
           now - found->second < kSheddingHold;
  };
  return refused({}) || (call.m_data_centers && refused(*call.m_data_centers));
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ADMISSION_LATE_CALL_SHEDDING_H_
