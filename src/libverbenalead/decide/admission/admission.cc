#include "decide/admission/admission.h"

#include <algorithm>
#include <cmath>

namespace verbenalead::decide {
namespace {

using Actions = std::vector<AdmissionAction>;

/// Minimum share of an organisation's service rate that the wait estimate
/// assumes for its less urgent calls, so that the estimate stays finite however
/// many urgent calls the organisation sends.
constexpr double kMinRateShare = 0.05;
constexpr double kMinWeight = 0.001;
/// An organisation with fewer decayed units of work than this counts as
/// inactive.
constexpr double kMinDemand = 0.01;

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

AdmissionAction Refuse(uint64_t ticket,
                       const char* reason,
                       Duration retry_after) {
  return {AdmissionAction::Kind::kRefuse, ticket, reason,
          std::clamp(retry_after, kMinRetryAfter, kMaxRetryAfter)};
}

double MinLimit(const AdmissionState& state) {
  return std::max(1.0, static_cast<double>(state.m_capacity) /
                           std::max<uint32_t>(state.m_entries, 1));
}

void BoundLimit(AdmissionState& state) {
  const double upper_bound = std::max<double>(state.m_capacity, 1);
  state.m_limit = std::clamp(
      state.m_limit, std::min(MinLimit(state), upper_bound), upper_bound);
}

void Remove(AdmissionState& state,
            OrganisationQueue& queue,
            std::set<WaitingCall>::iterator call) {
  queue.m_units[static_cast<size_t>(call->m_urgency)] -= call->m_units;
  state.m_tickets.erase(call->m_ticket);
  queue.m_calls.erase(call);
  --state.m_waiting;
}

/// Units of work waiting in `queue` that are served before a new call of
/// `urgency`.
double WorkAhead(const OrganisationQueue& queue, int urgency) {
  double ahead = 0;
  for (int u = 0; u <= urgency; ++u)
    ahead += queue.m_units[static_cast<size_t>(u)];
  return ahead;
}

/// Estimated service rate of this entry in units of work per second: the recent
/// rate, or the entry's equal share of the pool if that is more, as after an
/// idle time. A rate computed from m_limit would be too high: after an idle
/// time the limit may be the whole pool, which the entries share in a burst.
double ServiceRate(const AdmissionState& state) {
  const double seconds = SecondsPerUnit(state.m_service);
  if (seconds <= 0)
    return 0;
  const double recent =
      state.m_served / std::chrono::duration<double>(kRateDecayTime).count();
  return std::max(recent, MinLimit(state) / seconds);
}

/// Recent arrival rate of `queue` in units of work per second, for calls of
/// `urgency` and more urgent ones.
double ArrivalRate(const OrganisationQueue& queue, int urgency) {
  double units = 0;
  for (int u = 0; u <= urgency; ++u)
    units += queue.m_arrived[static_cast<size_t>(u)];
  return units / std::chrono::duration<double>(kRateDecayTime).count();
}

/// Estimated service rate of `queue` in units of work per second: what the
/// other organisations leave, each of which uses its arrival rate up to its
/// fair share. An estimate from the queue lengths alone would give an
/// organisation that sends far above its share the whole pool, because the
/// calls of the others start at once and rarely wait; its calls would be
/// refused only after a long wait.
double RateFor(const AdmissionState& state, const OrganisationQueue& queue) {
  double weights = 0;
  for (const auto& [name, other] : state.m_queues) {
    if (&other == &queue || ArrivalRate(other, model::kLeastUrgent) > 0)
      weights += other.m_weight;
  }
  const double rate = ServiceRate(state);
  double left = rate;
  for (const auto& [name, other] : state.m_queues) {
    if (&other != &queue)
      left -= std::min(ArrivalRate(other, model::kLeastUrgent),
                       rate * other.m_weight / weights);
  }
  return std::max(left, rate * queue.m_weight / weights);
}

/// Estimated time until a call of `units` and `urgency` is answered if it joins
/// `queue` now. More urgent calls that arrive while it waits are served first.
/// If the estimate ignored them, a call of the lowest urgency would be admitted
/// because the queue is short, and overtaken until its deadline had passed.
Duration TimeToAnswer(const AdmissionState& state,
                      const OrganisationQueue& queue,
                      int urgency,
                      double units) {
  const double seconds = SecondsPerUnit(state.m_service);
  if (seconds <= 0)
    return {};
  const double service = units * seconds;
  if (state.m_waiting == 0 && state.m_running < state.m_limit)
    return Seconds(service);
  const double rate = RateFor(state, queue);
  const double overtaking = urgency > 0 ? ArrivalRate(queue, urgency - 1) : 0;
  const double left = std::max(rate - overtaking, rate * kMinRateShare);
  return Seconds(WorkAhead(queue, urgency) / left * kWaitEstimateFactor +
                 service);
}

/// The queue with the most waiting calls relative to its weight.
OrganisationQueue* LargestBacklog(AdmissionState& state) {
  OrganisationQueue* largest = nullptr;
  for (auto& [name, queue] : state.m_queues) {
    if (queue.m_calls.empty())
      continue;
    if (largest == nullptr || queue.m_calls.size() / queue.m_weight >
                                  largest->m_calls.size() / largest->m_weight)
      largest = &queue;
  }
  return largest;
}

/// Makes room for a call of `urgency` in `queue` when the limit on waiting
/// calls is reached: refuses the least urgent call of the organisation with the
/// most waiting calls relative to its weight. An organisation that fills the
/// queue thus can't keep the calls of others out. Returns false if the new call
/// itself would be the one to refuse.
bool MakeRoom(AdmissionState& state,
              const OrganisationQueue& queue,
              int urgency,
              Actions& actions) {
  OrganisationQueue* victim = LargestBacklog(state);
  if (victim == nullptr)
    return false;
  const auto last = std::prev(victim->m_calls.end());
  if (victim == &queue && last->m_urgency <= urgency)
    return false;
  actions.push_back(
      Refuse(last->m_ticket, "queue_full",
             Seconds(1.0 * state.m_waiting / std::max(1.0, state.m_limit))));
  Remove(state, *victim, last);
  return true;
}

/// Refuses waiting calls that can no longer be answered before their deadline,
/// so that their callers can still send them elsewhere.
void RefuseUnmeetable(AdmissionState& state, TimePoint now, Actions& actions) {
  if (now - state.m_deadlines_scanned_at < kDeadlineScanInterval)
    return;
  state.m_deadlines_scanned_at = now;
  const double seconds = SecondsPerUnit(state.m_service);
  for (auto& [name, queue] : state.m_queues) {
    for (auto call = queue.m_calls.begin(); call != queue.m_calls.end();) {
      const auto next = std::next(call);
      if (now + Seconds(call->m_units * seconds) >= call->m_deadline) {
        actions.push_back(
            Refuse(call->m_ticket, "deadline_passed_waiting", kMinRetryAfter));
        Remove(state, queue, call);
      }
      call = next;
    }
  }
}

/// The queue to serve next by start-time fair queueing: that of the
/// organisation with the least work served relative to its weight. Urgency
/// orders calls only within an organisation, so that none gains by marking all
/// its calls as urgent.
OrganisationQueue* NextQueue(AdmissionState& state) {
  OrganisationQueue* next = nullptr;
  for (auto& [name, queue] : state.m_queues) {
    if (!queue.m_calls.empty() &&
        (next == nullptr || queue.m_tag < next->m_tag))
      next = &queue;
  }
  return next;
}

void StartWaitingCalls(AdmissionState& state, TimePoint now, Actions& actions) {
  if (state.m_waiting == 0)
    return;
  RefuseUnmeetable(state, now, actions);
  while (state.m_running < std::floor(state.m_limit)) {
    OrganisationQueue* queue = NextQueue(state);
    if (queue == nullptr)
      return;
    const auto call = queue->m_calls.begin();
    state.m_tag = queue->m_tag;
    queue->m_tag += call->m_units / queue->m_weight;
    actions.push_back({AdmissionAction::Kind::kStart, call->m_ticket, "", {}});
    Remove(state, *queue, call);
    ++state.m_running;
  }
}

void DecayRates(AdmissionState& state, TimePoint now) {
  const Duration elapsed_time = now - state.m_rates_decayed_at;
  if (elapsed_time < kRateDecayInterval)
    return;
  state.m_rates_decayed_at = now;
  const double left = std::exp(-std::chrono::duration<double>(elapsed_time) /
                               std::chrono::duration<double>(kRateDecayTime));
  state.m_served *= left;
  for (auto& [name, queue] : state.m_queues) {
    for (double& units : queue.m_arrived)
      units = units * left < kMinDemand ? 0 : units * left;
  }
}

}  // namespace

std::vector<AdmissionAction> CallArrived(AdmissionState& state,
                                         uint64_t ticket,
                                         const model::Call& call,
                                         TimePoint now) {
  if (state.m_capacity == 0)
    return {Refuse(ticket, "no_usable_target", kRetryAfterNoTarget)};
  DecayRates(state, now);
  OrganisationQueue& queue = state.m_queues[call.organisation()];
  queue.m_weight = std::max(call.weight(), kMinWeight);
  const double units = WorkUnits(call);
  const auto urgency = static_cast<size_t>(call.urgency());
  const Duration time_to_answer =
      TimeToAnswer(state, queue, call.urgency(), units);
  if (now + time_to_answer > call.deadline()) {
    return {Refuse(ticket, "deadline_cannot_be_met",
                   now + time_to_answer - call.deadline())};
  }
  Actions actions;
  const auto upper_bound =
      static_cast<uint32_t>(kMaxWaitingPerSlot * state.m_limit);
  if (state.m_waiting >= std::max(upper_bound, kMaxWaitingPerSlot) &&
      !MakeRoom(state, queue, call.urgency(), actions))
    return {Refuse(ticket, "queue_full", time_to_answer)};
  // An organisation that was idle gets no credit for the service it did not
  // use.
  if (queue.m_calls.empty())
    queue.m_tag = std::max(queue.m_tag, state.m_tag);
  queue.m_arrived[urgency] += units;
  queue.m_units[urgency] += units;
  queue.m_calls.insert({call.urgency(), call.deadline(), ticket, units});
  state.m_tickets[ticket] = call.organisation();
  ++state.m_waiting;
  StartWaitingCalls(state, now, actions);
  return actions;
}

std::vector<AdmissionAction> CallFinished(AdmissionState& state,
                                          double units,
                                          std::optional<Duration> elapsed,
                                          TimePoint now) {
  if (elapsed) {
    DecayRates(state, now);
    state.m_served += units;
    Add(state.m_service, units, *elapsed);
    if (state.m_running + 1 >= state.m_limit)
      state.m_limit += kLimitIncreaseStep / std::max(1.0, state.m_limit);
  }
  if (state.m_running > 0)
    --state.m_running;
  BoundLimit(state);
  Actions actions;
  StartWaitingCalls(state, now, actions);
  return actions;
}

void LowerConcurrencyLimit(AdmissionState& state, TimePoint now) {
  if (now - state.m_limit_lowered_at < kLimitDecreaseInterval)
    return;
  state.m_limit = std::min<double>(state.m_limit, state.m_running);
  state.m_limit *= kLimitDecreaseFactor;
  state.m_limit_lowered_at = now;
  BoundLimit(state);
}

std::vector<AdmissionAction> UpdateCapacity(AdmissionState& state,
                                            uint32_t capacity,
                                            TimePoint now) {
  // Added capacity is used at once; targets refuse calls beyond their capacity.
  if (capacity > state.m_capacity)
    state.m_limit += capacity - state.m_capacity;
  state.m_capacity = capacity;
  BoundLimit(state);
  Actions actions;
  StartWaitingCalls(state, now, actions);
  if (capacity > 0)
    return actions;
  for (auto& [name, queue] : state.m_queues) {
    while (!queue.m_calls.empty()) {
      const auto call = queue.m_calls.begin();
      actions.push_back(
          Refuse(call->m_ticket, "no_usable_target", kRetryAfterNoTarget));
      Remove(state, queue, call);
    }
  }
  return actions;
}

void CallAbandoned(AdmissionState& state, uint64_t ticket) {
  auto organisation = state.m_tickets.find(ticket);
  if (organisation == state.m_tickets.end())
    return;
  OrganisationQueue& queue = state.m_queues.at(organisation->second);
  for (auto call = queue.m_calls.begin(); call != queue.m_calls.end(); ++call) {
    if (call->m_ticket == ticket)
      return Remove(state, queue, call);
  }
}

}  // namespace verbenalead::decide
