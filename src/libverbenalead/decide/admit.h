#ifndef VERBENALEAD_DECIDE_ADMIT_H_
#define VERBENALEAD_DECIDE_ADMIT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "decide/admit_action.h"
#include "decide/organisation_queue.h"
#include "decide/service_time.h"
#include "model/call.h"

namespace verbenalead::decide {

/// The calls of one pool that run or wait at this entry.
///
/// Made for twice the load that the pool can carry, with one organisation
/// sending most of it: the others keep their share, urgent calls stay in time,
/// and whoever can't be served hears so at once rather than after its deadline.
struct AdmitState {
  /// Calls that the pool can run at once, from the targets' reports.
  uint32_t m_capacity = 0;
  /// Entries that place on the same targets.
  uint32_t m_entries = 8;
  /// Calls that this entry may have under way. The entries don't talk about it:
  /// each takes more while the targets take its calls, and steps back when a
  /// target says that it is full.
  double m_limit = 0;
  TimePoint m_lowered_at{};
  uint32_t m_running = 0;
  uint32_t m_waiting = 0;
  std::map<std::string, OrganisationQueue> m_queues;
  /// Ticket -> the organisation whose queue holds it.
  std::map<uint64_t, std::string> m_tickets;
  /// Tag of the call that was started last.
  double m_tag = 0;
  ServiceTime m_service;
  /// Units served lately, fading.
  double m_served = 0;
  TimePoint m_faded_at{};
  TimePoint m_dropped_at{};
};

/// Calls that may wait for each that may run. What stands further back would
/// wait for four whole services; only callers with minutes of patience gain by
/// it, and each call that waits costs memory for its body (4 MB at most).
constexpr uint32_t kQueuePerSlot = 4;
/// Waits come out longer than estimated when service times vary. A call that is
/// refused too early costs a caller one retry; one that is admitted in vain
/// costs it its deadline.
constexpr double kWaitMargin = 1.75;
/// Step back of the limit when targets are full; at most one step in
/// kLowerEvery, as a burst of refusals has one cause.
constexpr double kLowerFactor = 0.9;
constexpr Duration kLowerEvery = 50ms;
/// Calls that the limit grows by for each round of calls that fit.
constexpr double kRaiseStep = 2;
/// How fast the picture of what each organisation sends, and of what is served,
/// fades, and how often it is brought up to date.
constexpr Duration kArrivalsFadeIn = 2s;
constexpr Duration kFadeEvery = 10ms;
/// The queue is searched for calls whose time is over this often: it holds
/// thousands under load, and callers are promised to hear within 10 ms.
constexpr Duration kDropEvery = 5ms;
constexpr Duration kLeastRetryAfter = 100ms;
constexpr Duration kMostRetryAfter = std::chrono::seconds(30);
constexpr Duration kRetryAfterNoTarget = 1s;

/// A call has come: starts, waits, or is refused at once. `ticket` is unique.
std::vector<AdmitAction> Arrive(AdmitState& state,
                                uint64_t ticket,
                                const model::Call& call,
                                TimePoint now);
/// A call that was started has been answered after `elapsed`, or, with nullopt,
/// has ended without a whole answer, which says nothing of the service time.
std::vector<AdmitAction> Finish(AdmitState& state,
                                double units,
                                std::optional<Duration> elapsed,
                                TimePoint now);
/// A call that was started found all targets full: the entries together have
/// too much under way. It keeps its slot and asks again after kFullPause.
void LowerLimit(AdmitState& state, TimePoint now);
/// The capacity has changed, or time has passed.
std::vector<AdmitAction> Tick(AdmitState& state,
                              uint32_t capacity,
                              TimePoint now);
/// The caller of a waiting call has gone.
void Abandon(AdmitState& state, uint64_t ticket);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ADMIT_H_
