#include "entry/slot_allocator.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "entry/rate_limits.h"

namespace verbenalead::entry {

namespace asio = boost::asio;

namespace {

/// Maximum number of targets at which a call is queued at the same time. With
/// two, slots come free for it twice as often as with one; each further target
/// costs three datagrams per call.
constexpr size_t kReservations = 2;

}  // namespace

/// A call that waits for a slot. The timer is cancelled to wake it.
struct SlotAllocator::Waiter {
  Waiter(const asio::any_io_executor& executor,
         std::string service,
         decide::PoolCall call)
      : m_timer(executor),
        m_service(std::move(service)),
        m_call(std::move(call)),
        m_refused_early(decide::IsRefusedEarly(m_call)) {}

  asio::steady_timer m_timer;
  const std::string m_service;
  const decide::PoolCall m_call;
  /// The call is refused once all targets have denied it a slot.
  const bool m_refused_early;
  std::optional<Slot> m_slot;
};

SlotAllocator::SlotAllocator(
    EntryState& state,
    SlotRequester& slot_requester,
    std::function<void(const decide::ReplicaState&)> on_change)
    : m_state(state),
      m_slot_requester(slot_requester),
      m_on_change(std::move(on_change)) {
  m_slot_requester.SetReservationHandlers(
      [this](uint64_t reservation) { HandleGrant(reservation); },
      [this](const std::string& replica) { ReturnUnneededGrant(replica); },
      [this](uint64_t reservation) { HandleRejection(reservation); });
}

Awaitable<std::optional<std::string>> SlotAllocator::Acquire(
    std::string service,
    decide::PoolCall call,
    TimePoint deadline) {
  const uint64_t ticket = call.m_ticket;
  while (true) {
    auto slot = co_await AcquireOrWait(service, call, deadline);
    if (!slot) {
      WithdrawReservations(ticket);
      co_return std::nullopt;
    }
    bool granted = slot->m_granted;
    if (!granted)
      granted =
          co_await m_slot_requester.RequestSlot(service, slot->m_replica, call);
    decide::ReplicaPool& pool = GetOrCreateService(m_state, service).m_pool;
    // The replica may have stated meanwhile that it is leaving, or have asked
    // for a rest.
    if (granted && !decide::IsUnwanted(pool, slot->m_replica, Now())) {
      WithdrawReservations(ticket);
      co_return slot->m_replica;
    }
    // The target denied the slot. Its answer also updated this entry's view of
    // the replica, so the next round chooses another one.
    decide::NotePromptRead(pool, slot->m_replica, call.m_prompt_tokens);
    decide::ReleaseSlot(pool, slot->m_replica, decide::AttemptEnd::kNoSlot,
                        Now());
    if (granted)
      ReturnUnneededGrant(slot->m_replica);
    m_state.m_metrics.Count("places_denied_total", "");
  }
}

Awaitable<std::optional<SlotAllocator::Slot>> SlotAllocator::AcquireOrWait(
    std::string service,
    decide::PoolCall call,
    TimePoint deadline) {
  decide::ReplicaPool& pool = GetOrCreateService(m_state, service).m_pool;
  auto replica = decide::AcquireSlot(pool, call, Now(), m_state.m_random);
  if (replica) {
    Slot slot;
    slot.m_replica = *replica;
    co_return slot;
  }
  if (!decide::MayStartBy(pool, call, deadline, Now()))
    co_return std::nullopt;
  if (deadline <= Now())
    co_return std::nullopt;
  const uint64_t ticket = call.m_ticket;
  auto waiter = std::make_shared<Waiter>(co_await asio::this_coro::executor,
                                         service, call);
  waiter->m_timer.expires_at(deadline);
  m_waiters[ticket] = waiter;
  Reserve(service, call, deadline);
  decide::AddWaitingCall(pool, std::move(call));
  boost::system::error_code ignored;
  co_await waiter->m_timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  m_waiters.erase(ticket);
  if (!waiter->m_slot)
    decide::RemoveWaitingCall(GetOrCreateService(m_state, service).m_pool,
                              ticket);
  co_return waiter->m_slot;
}

void SlotAllocator::Reserve(const std::string& service,
                            const decide::PoolCall& call,
                            TimePoint deadline) {
  if (m_reservations.contains(call.m_ticket))
    return;
  const decide::ReplicaPool& pool = GetOrCreateService(m_state, service).m_pool;
  for (const std::string& replica : decide::ReplicasToWaitAt(
           pool, call, kReservations, Now(), m_state.m_random)) {
    const auto reservation =
        m_slot_requester.Reserve(service, replica, call, deadline);
    if (!reservation)
      continue;
    m_reservations[call.m_ticket].push_back(*reservation);
    m_ticket_by_reservation[*reservation] = call.m_ticket;
  }
}

void SlotAllocator::WithdrawReservations(uint64_t ticket) {
  const auto found = m_reservations.find(ticket);
  if (found == m_reservations.end())
    return;
  for (uint64_t reservation : found->second) {
    m_slot_requester.Withdraw(reservation);
    m_ticket_by_reservation.erase(reservation);
  }
  m_reservations.erase(found);
}

void SlotAllocator::HandleGrant(uint64_t reservation) {
  const auto ticket = m_ticket_by_reservation.find(reservation);
  const std::string replica =
      m_slot_requester.ReplicaOfReservation(reservation);
  const auto waiter = ticket == m_ticket_by_reservation.end()
                          ? m_waiters.end()
                          : m_waiters.find(ticket->second);
  if (waiter == m_waiters.end() || waiter->second->m_slot) {
    ReturnUnneededGrant(replica);
    return;
  }
  Waiter& waiting = *waiter->second;
  decide::ReplicaPool& pool =
      GetOrCreateService(m_state, waiting.m_service).m_pool;
  if (!decide::AddGrantedSlot(pool, replica, waiting.m_call, Now())) {
    ReturnUnneededGrant(replica);
    return;
  }
  decide::RemoveWaitingCall(pool, ticket->second);
  Slot slot;
  slot.m_replica = replica;
  slot.m_granted = true;
  waiting.m_slot = std::move(slot);
  waiting.m_timer.cancel();
}

void SlotAllocator::HandleRejection(uint64_t reservation) {
  const auto found = m_ticket_by_reservation.find(reservation);
  if (found == m_ticket_by_reservation.end())
    return;
  const uint64_t ticket = found->second;
  const auto found_waiter = m_waiters.find(ticket);
  if (found_waiter == m_waiters.end() || found_waiter->second->m_slot)
    return;
  const std::shared_ptr<Waiter> waiter = found_waiter->second;
  MoveReservations(waiter->m_service, ticket);
  if (waiter->m_refused_early)
    DropDenied(*waiter, ticket, reservation);
}

void SlotAllocator::DropDenied(Waiter& waiter,
                               uint64_t ticket,
                               uint64_t reservation) {
  const auto found = m_reservations.find(ticket);
  if (found == m_reservations.end() ||
      std::erase(found->second, reservation) == 0)
    return;
  m_ticket_by_reservation.erase(reservation);
  if (!found->second.empty())
    return;
  const std::string replica =
      m_slot_requester.ReplicaOfReservation(reservation);
  m_reservations.erase(found);
  // A replica that loads weights denies all calls, whatever its queue.
  if (IsLoading(waiter.m_service, replica)) {
    ReserveAgain(waiter.m_service, ticket);
    return;
  }
  Wake(waiter.m_service);
  if (waiter.m_slot)
    return;
  m_state.m_metrics.Count("calls_refused_early_total", "");
  waiter.m_timer.cancel();
}

bool SlotAllocator::IsLoading(const std::string& service,
                              const std::string& replica) const {
  const decide::ReplicaPool& pool = GetOrCreateService(m_state, service).m_pool;
  const auto found = pool.m_replicas.find(replica);
  return found != pool.m_replicas.end() &&
         found->second.m_loading_until > Now();
}

void SlotAllocator::LeaveUnwantedReplicas(const std::string& service) {
  const decide::ReplicaPool& pool = GetOrCreateService(m_state, service).m_pool;
  // The time is the same for all calls that may use the same data centres; a
  // pool may have 1,700 replicas.
  std::map<std::optional<std::set<std::string>>, TimePoint> wanted_from;
  std::vector<std::pair<uint64_t, TimePoint>> calls;
  for (const decide::PoolCall& call : pool.m_waiting) {
    std::optional<std::set<std::string>> data_centers;
    if (call.m_data_centers)
      data_centers = *call.m_data_centers;
    const auto [time, is_new] =
        wanted_from.try_emplace(std::move(data_centers), TimePoint());
    if (is_new)
      time->second = decide::CallsWantedFrom(pool, call);
    calls.emplace_back(call.m_ticket, time->second);
  }
  for (const auto& [ticket, earliest] : calls) {
    const auto waiter = m_waiters.find(ticket);
    if (waiter == m_waiters.end())
      continue;
    if (waiter->second->m_timer.expiry() < earliest)
      waiter->second->m_timer.cancel();
    else
      MoveReservations(service, ticket);
  }
}

void SlotAllocator::MoveReservations(const std::string& service,
                                     uint64_t ticket) {
  const decide::ReplicaPool& pool = GetOrCreateService(m_state, service).m_pool;
  const auto found = m_reservations.find(ticket);
  if (found == m_reservations.end())
    return;
  std::erase_if(found->second, [&](uint64_t reservation) {
    const std::string replica =
        m_slot_requester.ReplicaOfReservation(reservation);
    if (!decide::IsUnwanted(pool, replica, Now()))
      return false;
    m_slot_requester.Withdraw(reservation);
    m_ticket_by_reservation.erase(reservation);
    return true;
  });
  if (!found->second.empty())
    return;
  m_reservations.erase(found);
  m_state.m_metrics.Count("waiting_calls_moved_total", "");
  ReserveAgain(service, ticket);
}

void SlotAllocator::ReserveAgain(const std::string& service, uint64_t ticket) {
  const decide::ReplicaPool& pool = GetOrCreateService(m_state, service).m_pool;
  const auto call = std::find_if(pool.m_waiting.begin(), pool.m_waiting.end(),
                                 [ticket](const decide::PoolCall& each) {
                                   return each.m_ticket == ticket;
                                 });
  const auto waiter = m_waiters.find(ticket);
  if (call != pool.m_waiting.end() && waiter != m_waiters.end())
    Reserve(service, *call, waiter->second->m_timer.expiry());
}

void SlotAllocator::ReturnUnneededGrant(const std::string& replica) {
  m_state.m_metrics.Count("grants_unused_total", "");
  for (const auto& [service, state] : m_state.m_services)
    NotifyCalls(service, replica);
}

void SlotAllocator::NotifyCalls(const std::string& service,
                                const std::string& replica) {
  const decide::ReplicaPool& pool = GetOrCreateService(m_state, service).m_pool;
  const auto found = pool.m_replicas.find(replica);
  if (found != pool.m_replicas.end() && HasTargetProcesses(pool))
    m_on_change(found->second);
}

void SlotAllocator::NotePromptRead(const std::string& service,
                                   const std::string& replica,
                                   uint32_t prompt_tokens) {
  decide::NotePromptRead(GetOrCreateService(m_state, service).m_pool, replica,
                         prompt_tokens);
  NotifyCalls(service, replica);
}

void SlotAllocator::Cancel(uint64_t ticket) {
  const auto found = m_waiters.find(ticket);
  if (found != m_waiters.end())
    found->second->m_timer.cancel();
}

void SlotAllocator::Release(const std::string& service,
                            const std::string& replica,
                            decide::AttemptEnd end) {
  decide::ReleaseSlot(GetOrCreateService(m_state, service).m_pool, replica, end,
                      Now());
  // The target is notified first, as calls of all entries queued there take
  // precedence over calls that wait only at this entry.
  NotifyCalls(service, replica);
  Wake(service);
}

void SlotAllocator::Wake(const std::string& service) {
  decide::ReplicaPool& pool = GetOrCreateService(m_state, service).m_pool;
  if (pool.m_waiting.empty())
    return;
  for (const decide::StartedCall& start :
       decide::StartWaitingCalls(pool, Now(), m_state.m_random)) {
    const auto found = m_waiters.find(start.m_ticket);
    if (found == m_waiters.end()) {
      decide::ReleaseSlot(pool, start.m_replica, decide::AttemptEnd::kAbandoned,
                          Now());
      continue;
    }
    Slot slot;
    slot.m_replica = start.m_replica;
    found->second->m_slot = std::move(slot);
    found->second->m_timer.cancel();
  }
  LeaveUnwantedReplicas(service);
}

void SlotAllocator::WakeAll() {
  for (const auto& [service, state] : m_state.m_services)
    Wake(service);
}

}  // namespace verbenalead::entry
