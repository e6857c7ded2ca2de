#include "target/slot_granter.h"

namespace verbenalead::target {
namespace {

/// Time after the last report of an entry until its calls no longer count.
constexpr Duration kCallReportLifetime = 2500ms;

}  // namespace

void PlaceGranter::Grant(const Endpoint& entry,
                         const links::PlaceRequest& request) {
  if (!m_state.m_engine)
    return;
  EntryFollower& follower = m_entries[entry];
  follower.m_calls = request.m_calls;
  follower.m_calls_at = Now();
  m_queue.m_slots = m_state.m_engine->m_slots;
  m_queue.m_prefill_rate = m_state.m_engine->m_prefill_rate;
  const TimePoint now = Now();
  decide::PlaceWish wish;
  wish.m_entry = entry;
  wish.m_ticket = request.m_ticket;
  wish.m_prompt_tokens = request.m_prompt_tokens;
  wish.m_fresh = request.m_fresh;
  wish.m_read_by = now + request.m_read_within;
  wish.m_until = now + request.m_wait;
  links::PlaceAnswer answer;
  answer.m_ticket = request.m_ticket;
  answer.m_news = NewsFor(follower);
  if (!answer.m_news.m_loading) {
    const auto verdict = decide::Ask(m_queue, wish, Load(), now);
    answer.m_granted = verdict == decide::PlaceVerdict::kGranted;
    answer.m_queued = verdict == decide::PlaceVerdict::kQueued;
  }
  follower.m_denied = !answer.m_granted && !answer.m_queued;
  if (answer.m_granted)
    CountGranted(follower, request.m_prompt_tokens);
  m_datagrams.Send(entry, answer);
}

void PlaceGranter::Withdraw(const Endpoint& entry, uint64_t ticket) {
  decide::Withdraw(m_queue, entry, ticket);
}

void PlaceGranter::CountGranted(EntryFollower& follower,
                                uint32_t prompt_tokens) {
  ++follower.m_calls.m_calls;
  follower.m_calls.m_unread += prompt_tokens;
}

void PlaceGranter::GrantWaiting() {
  if (m_queue.m_wishes.empty() || m_engine_news().m_loading)
    return;
  for (const decide::PlaceWish& wish : decide::Grant(m_queue, Load(), Now())) {
    EntryFollower& follower = m_entries[wish.m_entry];
    links::PlaceAnswer answer;
    answer.m_ticket = wish.m_ticket;
    answer.m_granted = true;
    answer.m_news = NewsFor(follower);
    CountGranted(follower, wish.m_prompt_tokens);
    m_datagrams.Send(wish.m_entry, answer);
  }
}

void PlaceGranter::TakeCalls(const Endpoint& entry,
                             const links::CallNews& news) {
  EntryFollower& follower = m_entries[entry];
  follower.m_calls = news.m_calls;
  follower.m_calls_at = Now();
  GrantWaiting();
  // Entries that were denied a slot may have calls waiting, so they are
  // notified of the change at once.
  Tell([](const EntryFollower& other, const links::ReplicaNews&) {
    return other.m_denied;
  });
}

void PlaceGranter::Follow(const Endpoint& entry, TimePoint until) {
  m_entries[entry].m_until = until;
}

void PlaceGranter::TellAll() {
  Tell([](const EntryFollower&, const links::ReplicaNews&) { return true; });
}

void PlaceGranter::TellChanges() {
  Tell([](const EntryFollower& follower, const links::ReplicaNews& news) {
    return news != follower.m_told;
  });
}

void PlaceGranter::ForgetSilent(TimePoint now) {
  // An entry that died does not report the end of its calls.
  for (auto& [entry, follower] : m_entries) {
    if (follower.m_calls_at + kCallReportLifetime <= now)
      follower.m_calls = {};
  }
  GrantWaiting();
  std::erase_if(m_entries, [now](const auto& entry) {
    return entry.second.m_until <= now && entry.second.m_calls.m_calls == 0;
  });
}

links::ReplicaCalls PlaceGranter::Calls() const {
  links::ReplicaCalls sum;
  for (const auto& [entry, follower] : m_entries) {
    sum.m_calls += follower.m_calls.m_calls;
    sum.m_unread += follower.m_calls.m_unread;
  }
  return sum;
}

decide::ReplicaLoad PlaceGranter::Load() const {
  const links::ReplicaCalls all = Calls();
  return {all.m_calls, all.m_unread};
}

links::ReplicaNews PlaceGranter::NewsFor(const EntryFollower& follower) const {
  links::ReplicaNews news = m_engine_news();
  const links::ReplicaCalls all = Calls();
  news.m_elsewhere.m_calls = all.m_calls - follower.m_calls.m_calls;
  news.m_elsewhere.m_unread = all.m_unread - follower.m_calls.m_unread;
  news.m_waiting = static_cast<uint32_t>(m_queue.m_wishes.size());
  return news;
}

template <typename Which>
void PlaceGranter::Tell(Which which) {
  if (!OwnReplica(m_state))
    return;
  for (auto& [entry, follower] : m_entries) {
    const links::ReplicaNews news = NewsFor(follower);
    if (follower.m_until <= Now() || !which(follower, news))
      continue;
    follower.m_told = news;
    follower.m_denied = false;
    m_datagrams.Send(entry, news);
  }
}

}  // namespace verbenalead::target
