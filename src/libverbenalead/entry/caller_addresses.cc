#include "entry/caller_addresses.h"

#include <utility>

#include "entry/entry_news.h"

namespace verbenalead::entry {
namespace {

/// With fewer entries near, the death of one would leave callers with one.
constexpr size_t kEnoughEntries = 2;

struct Choices {
  std::vector<Endpoint> m_near;
  std::vector<Endpoint> m_all;
  std::vector<Endpoint> m_near_starting;
  std::vector<Endpoint> m_starting;
  std::vector<Endpoint> m_unready;
};

void Add(Choices& choices,
         const model::EntryAddress& entry,
         bool near,
         bool ready,
         bool starting) {
  const Endpoint& callers = entry.m_callers;
  if (!ready)
    choices.m_unready.push_back(callers);
  if (ready || starting) {
    (ready ? choices.m_all : choices.m_starting).push_back(callers);
    if (near)
      (ready ? choices.m_near : choices.m_near_starting).push_back(callers);
  }
}

void Append(std::vector<Endpoint>& list, const std::vector<Endpoint>& more) {
  list.insert(list.end(), more.begin(), more.end());
}

/// All that are heard of, in the order of their names from this entry on.
Choices ChoicesFor(const EntryState& state,
                   const std::string& data_center,
                   TimePoint now) {
  Choices choices;
  const model::EntryAddress& self = state.m_options.m_self;
  const bool lacks_rows =
      state.m_operator_revision == 0 || !state.m_replicas_known;
  Add(choices, self, self.m_data_center == data_center, IsReady(state),
      lacks_rows && !state.m_stopping);
  const auto add = [&](const PeerEntry& peer) {
    const bool starting =
        IsNear(state, peer) &&
        (peer.m_operator_revision == 0 || peer.m_replicas_hash == 0);
    if (IsHeard(state, peer, now)) {
      Add(choices, peer.m_address, peer.m_address.m_data_center == data_center,
          peer.m_ready, starting);
    }
  };
  const auto next = state.m_peers.upper_bound(self.m_host);
  for (auto peer = next; peer != state.m_peers.end(); ++peer)
    add(peer->second);
  for (auto peer = state.m_peers.begin(); peer != next; ++peer)
    add(peer->second);
  return choices;
}

}  // namespace

std::vector<Endpoint> EntriesFor(const EntryState& state,
                                 const std::string& data_center,
                                 size_t most,
                                 TimePoint now) {
  Choices choices = ChoicesFor(state, data_center, now);
  // Failure: all entries start at once, and the first ones that are ready name
  // only each other. Symptom: all callers come to these few, and keep to them
  // for seconds. Those that are about to be ready take their part.
  if (choices.m_starting.size() > choices.m_all.size()) {
    Append(choices.m_near, choices.m_near_starting);
    Append(choices.m_all, choices.m_starting);
  }
  std::vector<Endpoint> list = std::move(choices.m_near);
  if (list.size() < kEnoughEntries)
    list = std::move(choices.m_all);
  // With nobody ready, callers still learn from an answer when to come back.
  if (list.empty())
    list = std::move(choices.m_unready);
  if (list.size() > most)
    list.resize(most);
  return list;
}

}  // namespace verbenalead::entry
