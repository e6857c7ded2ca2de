#ifndef VERBENALEAD_DECIDE_ADMISSION_ADMISSION_H_
#define VERBENALEAD_DECIDE_ADMISSION_ADMISSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "decide/admission/admission_action.h"
#include "decide/admission/organisation_queue.h"
#include "decide/admission/service_time.h"
#include "model/call.h"

namespace verbenalead::decide {

/// Admission queue of one pool at this entry: its running and waiting calls.
///
/// Load: twice the capacity of the pool, most of it from one organisation.
/// Harm: in one first-come, first-served queue, the calls of all organisations,
/// urgent ones too, would wait until their deadlines had passed. Start-time
/// fair queueing keeps each organisation's share of the pool, urgent calls go
/// first within an organisation, and a call that can't meet its deadline is
/// refused on arrival.
struct AdmissionState {
  /// Calls that the pool can run at once: the sum of the capacities that its
  /// targets report.
  uint32_t m_capacity = 0;
  /// Number of entries that send calls to the same targets.
  uint32_t m_entries = 8;
  /// Calls that this entry may run at once. The entries don't coordinate their
  /// limits: each entry raises its own while the targets accept its calls, and
  /// lowers it when the targets are full.
  double m_limit = 0;
  TimePoint m_limit_lowered_at{};
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  std::map<std::string, OrganisationQueue> m_queues;
  /// Organisation of each waiting call, by ticket.
  std::map<uint64_t, std::string> m_tickets;
  /// Start tag of the call that was started last: the virtual time of the fair
  /// queueing.
  double m_tag = 0;
  ServiceTime m_service;
  /// Units of work completed, decayed exponentially with kRateDecayTime.
  double m_served = 0;
  TimePoint m_rates_decayed_at{};
  TimePoint m_deadlines_scanned_at{};
};

/// Calls that may wait for each call that may run. A call further back would
/// wait for at least four service times, which helps only callers whose
/// deadlines are minutes away, and each waiting call keeps its body in memory
/// (4 MB at most).
constexpr uint32_t kMaxWaitingPerSlot = 4;
/// Factor on the estimated wait. Actual waits are longer than the estimate when
/// service times vary. Refusing a call that would have been on time costs its
/// caller one retry; admitting a call that will be late costs it its deadline.
constexpr double kWaitEstimateFactor = 1.75;
/// Factor by which the limit falls when targets are full. It falls at most once
/// in kLimitDecreaseInterval, because refusals that arrive in a burst have one
/// cause.
constexpr double kLimitDecreaseFactor = 0.9;
constexpr Duration kLimitDecreaseInterval = 50ms;
/// Increase of the limit, in calls, after as many completed calls as the limit
/// allows at once, counting only calls that end while the limit is reached.
constexpr double kLimitIncreaseStep = 2;
/// Time constant of the exponential decay of the arrival and service rates, and
/// the minimum time between two updates of the decayed sums.
constexpr Duration kRateDecayTime = 2s;
constexpr Duration kRateDecayInterval = 10ms;
/// Interval at which the queue is scanned for calls that can no longer meet
/// their deadline. A scan on every event would be expensive, as the queue holds
/// thousands of calls under load; refusals must reach callers within 10 ms.
constexpr Duration kDeadlineScanInterval = 5ms;
constexpr Duration kMinRetryAfter = 100ms;
constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);
constexpr Duration kRetryAfterNoTarget = 1s;

/// Handles the arrival of a call, which starts, waits or is refused at once.
/// `ticket` identifies the call and must be unique.
std::vector<AdmissionAction> CallArrived(AdmissionState& state,
                                         uint64_t ticket,
                                         const model::Call& call,
                                         TimePoint now);
/// Handles the end of a started call. `elapsed` is the time to its complete
/// answer; nullopt means that there was none, so that the call is no sample of
/// the service time.
std::vector<AdmissionAction> CallFinished(AdmissionState& state,
                                          double units,
                                          std::optional<Duration> elapsed,
                                          TimePoint now);
/// Lowers the limit after a started call has found all targets full: the
/// entries together run more calls than the pool has slots. The call still
/// counts as running, and the router retries it after kFullTargetPause.
void LowerConcurrencyLimit(AdmissionState& state, TimePoint now);
/// Sets the capacity, starts the calls that now fit, and refuses calls that can
/// no longer meet their deadline. Called periodically and when capacity
/// changes.
std::vector<AdmissionAction> UpdateCapacity(AdmissionState& state,
                                            uint32_t capacity,
                                            TimePoint now);
/// Removes a waiting call whose caller has disconnected.
void CallAbandoned(AdmissionState& state, uint64_t ticket);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ADMISSION_ADMISSION_H_
