#include "target/place_granter.h"

#include "decide/replica_pool.h"

namespace verbenalead::target {
namespace {

/// How long the calls of an entry count that tells nothing more.
constexpr Duration kCallsHold = 2500ms;

}  // namespace

void PlaceGranter::Grant(const Endpoint& entry,
                         const links::PlaceRequest& request) {
  if (!m_state.m_engine)
    return;
  EntryFollower& follower = m_entries[entry];
  follower.m_calls = request.m_calls;
  follower.m_calls_at = Now();
  links::PlaceAnswer answer;
  answer.m_ticket = request.m_ticket;
  answer.m_news = NewsFor(follower);
  const links::ReplicaCalls all = Calls();
  answer.m_granted = !answer.m_news.m_loading &&
                     decide::HasRoom(m_state.m_engine->m_slots,
                                     m_state.m_engine->m_prefill_rate,
                                     all.m_calls, all.m_unread);
  follower.m_denied = !answer.m_granted;
  if (answer.m_granted) {
    ++follower.m_calls.m_calls;
    follower.m_calls.m_unread += request.m_prompt_tokens;
  }
  m_datagrams.Send(entry, answer);
}

void PlaceGranter::TakeCalls(const Endpoint& entry,
                             const links::CallNews& news) {
  EntryFollower& follower = m_entries[entry];
  follower.m_calls = news.m_calls;
  follower.m_calls_at = Now();
  // Calls wait at those that were denied a place.
  Tell([](const EntryFollower& other, const links::ReplicaNews&) {
    return other.m_denied;
  });
}

void PlaceGranter::Follow(const Endpoint& entry, bool near, TimePoint until) {
  EntryFollower& follower = m_entries[entry];
  follower.m_until = until;
  follower.m_near = near;
}

void PlaceGranter::TellAll() {
  Tell([](const EntryFollower&, const links::ReplicaNews&) { return true; });
}

void PlaceGranter::TellChanges(bool near, bool far) {
  Tell([=](const EntryFollower& follower, const links::ReplicaNews& news) {
    return (follower.m_near ? near : far) && news != follower.m_told;
  });
}

void PlaceGranter::ForgetSilent(TimePoint now) {
  // An entry that died told nothing of the end of its calls.
  for (auto& [entry, follower] : m_entries) {
    if (follower.m_calls_at + kCallsHold <= now)
      follower.m_calls = {};
  }
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

links::ReplicaNews PlaceGranter::NewsFor(const EntryFollower& follower) const {
  links::ReplicaNews news = m_engine_news();
  const links::ReplicaCalls all = Calls();
  news.m_elsewhere.m_calls = all.m_calls - follower.m_calls.m_calls;
  news.m_elsewhere.m_unread = all.m_unread - follower.m_calls.m_unread;
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
