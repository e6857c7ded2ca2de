#ifndef VERBENALEAD_DECIDE_ADMIT_H_
#define VERBENALEAD_DECIDE_ADMIT_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "base/time.h"
#include "model/call.h"

namespace verbenalead::decide {

/// What admission tells its daemon to do with one call.
struct AdmitAction {
  enum class Kind { kStart, kRefuse };
  Kind m_kind = Kind::kStart;
  std::string m_call;
  /// Set for kRefuse.
  std::string m_reason;
  Duration m_retry_after{};

  friend bool operator==(const AdmitAction&, const AdmitAction&) = default;
};

/// The calls of one pool that run or wait at this entry.
struct AdmitState {
  /// Calls that may run at once, from the targets' reports.
  uint32_t m_capacity = 0;
  uint32_t m_running = 0;
  std::deque<model::Call> m_waiting;
};

/// Calls that may wait for each that may run. A longer queue only adds waiting:
/// what stands behind it would miss its deadline anyway.
constexpr uint32_t kQueuePerSlot = 4;
constexpr Duration kRetryAfterFull = 1s;

/// A call has come: starts, waits, or is refused at once.
std::vector<AdmitAction> Arrive(AdmitState& state,
                                const model::Call& call,
                                TimePoint now);
/// A call that was started has ended.
std::vector<AdmitAction> Finish(AdmitState& state, TimePoint now);
/// The capacity has changed, or time has passed.
std::vector<AdmitAction> Tick(AdmitState& state,
                              uint32_t capacity,
                              TimePoint now);
/// The caller of a waiting call has gone.
void Abandon(AdmitState& state, const std::string& call);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ADMIT_H_
