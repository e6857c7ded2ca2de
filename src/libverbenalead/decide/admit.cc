#include "decide/admit.h"

#include <algorithm>
#include <cmath>

namespace verbenalead::decide {
namespace {

using Actions = std::vector<AdmitAction>;

/// However many urgent calls an organisation sends, the estimate for its others
/// stays finite.
constexpr double kLeastLeft = 0.05;
constexpr double kLeastWeight = 0.001;
/// Units below which an organisation counts as one that sends nothing.
constexpr double kLeastDemand = 0.01;

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

AdmitAction Refuse(uint64_t ticket, const char* reason, Duration retry_after) {
  return {AdmitAction::Kind::kRefuse, ticket, reason,
          std::clamp(retry_after, kLeastRetryAfter, kMostRetryAfter)};
}

double LeastLimit(const AdmitState& state) {
  return std::max(1.0, static_cast<double>(state.m_capacity) /
                           std::max<uint32_t>(state.m_entries, 1));
}

void BoundLimit(AdmitState& state) {
  const double most = std::max<double>(state.m_capacity, 1);
  state.m_limit =
      std::clamp(state.m_limit, std::min(LeastLimit(state), most), most);
}

void Remove(AdmitState& state,
            OrganisationQueue& queue,
            std::set<WaitingCall>::iterator call) {
  queue.m_units[static_cast<size_t>(call->m_urgency)] -= call->m_units;
  state.m_tickets.erase(call->m_ticket);
  queue.m_calls.erase(call);
  --state.m_waiting;
}

/// Work of `queue` that is served before a call of `urgency`: what waits, and,
/// as more urgent calls go on coming while it waits, their part of the service.
double WorkAhead(const OrganisationQueue& queue, int urgency) {
  double ahead = 0;
  for (int u = 0; u <= urgency; ++u)
    ahead += queue.m_units[static_cast<size_t>(u)];
  return ahead;
}

/// Units of work a second that this entry serves: what it has lately, or its
/// part of the pool where it was idle. Its limit would promise more: after an
/// idle time it is the whole pool, which other entries share in a burst.
double Rate(const AdmitState& state) {
  const double seconds = SecondsPerUnit(state.m_service);
  if (seconds <= 0)
    return 0;
  const double lately =
      state.m_served / std::chrono::duration<double>(kArrivalsFadeIn).count();
  return std::max(lately, LeastLimit(state) / seconds);
}

/// Units a second that `queue` has lately brought, up to `urgency`.
double Demand(const OrganisationQueue& queue, int urgency) {
  double units = 0;
  for (int u = 0; u <= urgency; ++u)
    units += queue.m_arrived[static_cast<size_t>(u)];
  return units / std::chrono::duration<double>(kArrivalsFadeIn).count();
}

/// Units a second that `queue` may count on: what the others leave, each taking
/// what it asks for up to its share. By the queues alone it would look as if
/// a flooding organisation had the pool for itself, since the others are served
/// at once and seldom wait; its calls would be refused only after a long wait.
double RateOf(const AdmitState& state, const OrganisationQueue& queue) {
  double weights = 0;
  for (const auto& [name, other] : state.m_queues) {
    if (&other == &queue || Demand(other, model::kLeastUrgent) > 0)
      weights += other.m_weight;
  }
  const double rate = Rate(state);
  double left = rate;
  for (const auto& [name, other] : state.m_queues) {
    if (&other != &queue)
      left -= std::min(Demand(other, model::kLeastUrgent),
                       rate * other.m_weight / weights);
  }
  return std::max(left, rate * queue.m_weight / weights);
}

/// Time until a call of `units` at `urgency` would have been answered, were it
/// to join `queue` now. More urgent calls that come while it waits overtake it;
/// without their part a call of the least urgency would be admitted on the
/// strength of a short queue and be overtaken until its deadline had passed.
Duration TimeToAnswer(const AdmitState& state,
                      const OrganisationQueue& queue,
                      int urgency,
                      double units) {
  const double seconds = SecondsPerUnit(state.m_service);
  if (seconds <= 0)
    return {};
  const double service = units * seconds;
  if (state.m_waiting == 0 && state.m_running < state.m_limit)
    return Seconds(service);
  const double rate = RateOf(state, queue);
  const double overtaking = urgency > 0 ? Demand(queue, urgency - 1) : 0;
  const double left = std::max(rate - overtaking, rate * kLeastLeft);
  return Seconds(WorkAhead(queue, urgency) / left * kWaitMargin + service);
}

/// The queue that has most waiting for its weight.
OrganisationQueue* Greediest(AdmitState& state) {
  OrganisationQueue* greediest = nullptr;
  for (auto& [name, queue] : state.m_queues) {
    if (queue.m_calls.empty())
      continue;
    if (greediest == nullptr ||
        queue.m_calls.size() / queue.m_weight >
            greediest->m_calls.size() / greediest->m_weight)
      greediest = &queue;
  }
  return greediest;
}

/// Makes room in a full queue for a call of `queue` at `urgency`. Whoever has
/// most waiting for its weight gives way, at its least urgent call: one
/// organisation's flood fills the queue only until another one calls.
bool MakeRoom(AdmitState& state,
              const OrganisationQueue& queue,
              int urgency,
              Actions& actions) {
  OrganisationQueue* victim = Greediest(state);
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

/// Refuses what waits and can't be answered in time any more, while its caller
/// still has time to go elsewhere.
void DropHopeless(AdmitState& state, TimePoint now, Actions& actions) {
  if (now - state.m_dropped_at < kDropEvery)
    return;
  state.m_dropped_at = now;
  const double seconds = SecondsPerUnit(state.m_service);
  for (auto& [name, queue] : state.m_queues) {
    for (auto call = queue.m_calls.begin(); call != queue.m_calls.end();) {
      const auto next = std::next(call);
      if (now + Seconds(call->m_units * seconds) >= call->m_deadline) {
        actions.push_back(Refuse(call->m_ticket, "deadline_passed_waiting",
                                 kLeastRetryAfter));
        Remove(state, queue, call);
      }
      call = next;
    }
  }
}

/// Start-time fair queueing: the organisation that was served least for its
/// weight is next. Urgency orders calls within an organisation only, so that
/// none gains by calling all its calls urgent.
OrganisationQueue* Next(AdmitState& state) {
  OrganisationQueue* next = nullptr;
  for (auto& [name, queue] : state.m_queues) {
    if (!queue.m_calls.empty() &&
        (next == nullptr || queue.m_tag < next->m_tag))
      next = &queue;
  }
  return next;
}

void Start(AdmitState& state, TimePoint now, Actions& actions) {
  if (state.m_waiting == 0)
    return;
  DropHopeless(state, now, actions);
  while (state.m_running < std::floor(state.m_limit)) {
    OrganisationQueue* queue = Next(state);
    if (queue == nullptr)
      return;
    const auto call = queue->m_calls.begin();
    state.m_tag = queue->m_tag;
    queue->m_tag += call->m_units / queue->m_weight;
    actions.push_back({AdmitAction::Kind::kStart, call->m_ticket, "", {}});
    Remove(state, *queue, call);
    ++state.m_running;
  }
}

void Fade(AdmitState& state, TimePoint now) {
  const Duration passed = now - state.m_faded_at;
  if (passed < kFadeEvery)
    return;
  state.m_faded_at = now;
  const double left = std::exp(-std::chrono::duration<double>(passed) /
                               std::chrono::duration<double>(kArrivalsFadeIn));
  state.m_served *= left;
  for (auto& [name, queue] : state.m_queues) {
    for (double& units : queue.m_arrived)
      units = units * left < kLeastDemand ? 0 : units * left;
  }
}

}  // namespace

std::vector<AdmitAction> Arrive(AdmitState& state,
                                uint64_t ticket,
                                const model::Call& call,
                                TimePoint now) {
  if (state.m_capacity == 0)
    return {Refuse(ticket, "no_usable_target", kRetryAfterNoTarget)};
  Fade(state, now);
  OrganisationQueue& queue = state.m_queues[call.organisation()];
  queue.m_weight = std::max(call.weight(), kLeastWeight);
  const double units = UnitsOf(call);
  const auto urgency = static_cast<size_t>(call.urgency());
  const Duration needed = TimeToAnswer(state, queue, call.urgency(), units);
  if (now + needed > call.deadline()) {
    return {Refuse(ticket, "deadline_cannot_be_met",
                   now + needed - call.deadline())};
  }
  Actions actions;
  const auto most = static_cast<uint32_t>(kQueuePerSlot * state.m_limit);
  if (state.m_waiting >= std::max(most, kQueuePerSlot) &&
      !MakeRoom(state, queue, call.urgency(), actions))
    return {Refuse(ticket, "queue_full", needed)};
  // An organisation that comes back has no claim on what it didn't use.
  if (queue.m_calls.empty())
    queue.m_tag = std::max(queue.m_tag, state.m_tag);
  queue.m_arrived[urgency] += units;
  queue.m_units[urgency] += units;
  queue.m_calls.insert({call.urgency(), call.deadline(), ticket, units});
  state.m_tickets[ticket] = call.organisation();
  ++state.m_waiting;
  Start(state, now, actions);
  return actions;
}

std::vector<AdmitAction> Finish(AdmitState& state,
                                double units,
                                std::optional<Duration> elapsed,
                                TimePoint now) {
  if (elapsed) {
    Fade(state, now);
    state.m_served += units;
    Add(state.m_service, units, *elapsed);
    if (state.m_running + 1 >= state.m_limit)
      state.m_limit += kRaiseStep / std::max(1.0, state.m_limit);
  }
  if (state.m_running > 0)
    --state.m_running;
  BoundLimit(state);
  Actions actions;
  Start(state, now, actions);
  return actions;
}

void LowerLimit(AdmitState& state, TimePoint now) {
  if (now - state.m_lowered_at < kLowerEvery)
    return;
  state.m_limit = std::min<double>(state.m_limit, state.m_running);
  state.m_limit *= kLowerFactor;
  state.m_lowered_at = now;
  BoundLimit(state);
}

std::vector<AdmitAction> Tick(AdmitState& state,
                              uint32_t capacity,
                              TimePoint now) {
  // A pool that grows is taken up at once: its targets refuse what is too much.
  if (capacity > state.m_capacity)
    state.m_limit += capacity - state.m_capacity;
  state.m_capacity = capacity;
  BoundLimit(state);
  Actions actions;
  Start(state, now, actions);
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

void Abandon(AdmitState& state, uint64_t ticket) {
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
