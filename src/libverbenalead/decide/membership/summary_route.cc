#include "decide/membership/summary_route.h"

#include <algorithm>
#include <map>

namespace verbenalead::decide {
namespace {

/// Recipients in each data centre. With one, and a third of the entries dead,
/// entries receive no summaries for so long that they consider all remote
/// entries lost.
constexpr size_t kRecipientsPerDataCenter = 3;

}  // namespace

bool IsSummarySender(const std::string& host,
                     const std::string& data_center,
                     const std::vector<SummaryPeer>& peers) {
  return std::none_of(peers.begin(), peers.end(), [&](const SummaryPeer& peer) {
    return peer.m_recently_seen && peer.m_ready &&
           peer.m_data_center == data_center && peer.m_host < host;
  });
}

std::vector<std::string> SummaryRecipients(
    const std::string& data_center,
    const std::vector<SummaryPeer>& peers,
    std::mt19937_64& random) {
  struct Candidates {
    std::vector<const std::string*> m_ready;
    std::vector<const std::string*> m_listed;
  };
  std::map<std::string, Candidates> by_data_center;
  for (const SummaryPeer& peer : peers) {
    if (peer.m_data_center == data_center)
      continue;
    Candidates& candidates = by_data_center[peer.m_data_center];
    candidates.m_listed.push_back(&peer.m_host);
    if (peer.m_recently_seen && peer.m_ready)
      candidates.m_ready.push_back(&peer.m_host);
  }
  std::vector<std::string> recipients;
  for (auto& [name, candidates] : by_data_center) {
    auto& hosts =
        candidates.m_ready.empty() ? candidates.m_listed : candidates.m_ready;
    std::shuffle(hosts.begin(), hosts.end(), random);
    hosts.resize(std::min(hosts.size(), kRecipientsPerDataCenter));
    for (const std::string* host : hosts)
      recipients.push_back(*host);
  }
  return recipients;
}

}  // namespace verbenalead::decide
