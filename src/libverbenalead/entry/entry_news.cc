#include "entry/entry_news.h"

#include "base/log.h"

namespace verbenalead::entry {
namespace {

/// An entry that told nothing for so long, three times, is taken for dead or
/// cut off.
constexpr Duration kPeerSilence = 1300ms;
/// Notes are told again for this long, so that losing some datagrams loses no
/// note.
constexpr Duration kNoteAge = 3s;
/// A target tells every 200 ms that it loads; one that dies meanwhile doesn't
/// keep its replica out of use for longer than this.
constexpr Duration kLoadingHold = 1s;
/// With fewer entries near, the death of one would leave callers with one.
constexpr size_t kEnoughEntries = 2;

/// Calls at each replica that has any.
std::map<std::string, links::ReplicaCalls> InFlight(const EntryState& state) {
  std::map<std::string, links::ReplicaCalls> calls;
  for (const auto& [name, service] : state.m_services) {
    for (const auto& [id, replica] : service.m_pool.m_replicas) {
      if (replica.m_in_flight > 0)
        calls[id] = {replica.m_in_flight, replica.m_unread};
    }
  }
  return calls;
}

bool Heard(const PeerEntry& peer, TimePoint now) {
  return peer.m_heard_at != TimePoint() && now - peer.m_heard_at < kPeerSilence;
}

}  // namespace

void SumUpElsewhere(EntryState& state) {
  std::map<std::string, links::ReplicaCalls> elsewhere;
  for (const auto& [host, peer] : state.m_peers) {
    for (const auto& [replica, calls] : peer.m_in_flight) {
      elsewhere[replica].m_calls += calls.m_calls;
      elsewhere[replica].m_unread += calls.m_unread;
    }
  }
  for (auto& [name, service] : state.m_services) {
    for (auto& [id, replica] : service.m_pool.m_replicas) {
      const links::ReplicaCalls& there = elsewhere[id];
      replica.m_elsewhere = there.m_calls;
      replica.m_unread_elsewhere = there.m_unread;
    }
  }
}

links::EntryNews NewsOf(const EntryState& state) {
  links::EntryNews news;
  news.m_address = state.m_options.m_self;
  news.m_ready = IsReady(state);
  news.m_in_flight = InFlight(state);
  news.m_crashes = decide::RecentNotes(state.m_crashes, kNoteAge, Now());
  return news;
}

links::LoadNews ChangesSince(const EntryState& state,
                             std::map<std::string, links::ReplicaCalls>& told) {
  links::LoadNews news;
  news.m_host = state.m_options.m_self.m_host;
  std::map<std::string, links::ReplicaCalls> now = InFlight(state);
  for (const auto& [replica, calls] : now) {
    const auto before = told.find(replica);
    if (before == told.end() || before->second != calls)
      news.m_in_flight[replica] = calls;
  }
  for (const auto& [replica, calls] : told) {
    if (!now.contains(replica))
      news.m_in_flight[replica] = {};
  }
  told = std::move(now);
  return news;
}

void TakeNews(EntryState& state, const links::LoadNews& news) {
  const auto found = state.m_peers.find(news.m_host);
  // Its address and all else come with its next EntryNews.
  if (found == state.m_peers.end())
    return;
  for (const auto& [replica, calls] : news.m_in_flight)
    found->second.m_in_flight[replica] = calls;
  SumUpElsewhere(state);
}

void TakeNews(EntryState& state, const links::EntryNews& news, TimePoint now) {
  if (news.m_address.m_host == state.m_options.m_self.m_host)
    return;
  PeerEntry& peer = state.m_peers[news.m_address.m_host];
  if (!Heard(peer, now)) {
    LogLine("peer_heard")
        .With("host", news.m_address.m_host)
        .With("ready", news.m_ready)
        .Info();
  }
  peer.m_address = news.m_address;
  peer.m_ready = news.m_ready;
  peer.m_in_flight = news.m_in_flight;
  peer.m_heard_at = now;
  for (const decide::CrashNote& note : news.m_crashes)
    decide::NoteCrash(state.m_crashes, note, now);
  SumUpElsewhere(state);
}

void TakeNews(EntryState& state,
              const links::WeightsNews& news,
              TimePoint now) {
  const auto service = state.m_services.find(news.m_service);
  if (service == state.m_services.end())
    return;
  const auto found = service->second.m_pool.m_replicas.find(news.m_replica);
  if (found == service->second.m_pool.m_replicas.end())
    return;
  decide::ReplicaState& replica = found->second;
  const bool was_loading = replica.m_loading_until > now;
  if (was_loading != news.m_loading || news.m_version != replica.m_weights) {
    LogLine("replica_weights")
        .With("replica", news.m_replica)
        .With("version", news.m_version)
        .With("before", replica.m_weights)
        .With("loading", news.m_loading)
        .Info();
  }
  replica.m_loading_until = news.m_loading ? now + kLoadingHold : TimePoint();
  replica.m_weights = news.m_version;
}

void ForgetSilentPeers(EntryState& state, TimePoint now) {
  bool changed = false;
  for (auto& [host, peer] : state.m_peers) {
    if (Heard(peer, now) || peer.m_in_flight.empty())
      continue;
    LogLine("peer_silent").With("host", host).Warn();
    peer.m_in_flight.clear();
    changed = true;
  }
  if (changed)
    SumUpElsewhere(state);
}

std::vector<Endpoint> EntriesFor(const EntryState& state,
                                 const std::string& data_center,
                                 TimePoint now) {
  std::vector<Endpoint> near;
  std::vector<Endpoint> all;
  std::vector<Endpoint> unready;
  const auto add = [&](const model::EntryAddress& entry, bool ready) {
    if (!ready) {
      unready.push_back(entry.m_callers);
      return;
    }
    all.push_back(entry.m_callers);
    if (entry.m_data_center == data_center)
      near.push_back(entry.m_callers);
  };
  add(state.m_options.m_self, IsReady(state));
  for (const auto& [host, peer] : state.m_peers) {
    if (Heard(peer, now))
      add(peer.m_address, peer.m_ready);
  }
  if (near.size() >= kEnoughEntries)
    return near;
  // With nobody ready, callers still learn from an answer when to come back.
  return all.empty() ? unready : all;
}

}  // namespace verbenalead::entry
