#include "decide/limits/rate_holder.h"

#include "decide/membership/rendezvous.h"

namespace verbenalead::decide {

std::optional<std::string> RateHolder(const std::string& replica,
                                      const std::string& data_center,
                                      const std::vector<SummaryPeer>& entries) {
  std::vector<std::string> local;
  std::vector<std::string> all;
  for (const SummaryPeer& entry : entries) {
    if (!entry.m_recently_seen || !entry.m_ready)
      continue;
    all.push_back(entry.m_host);
    if (entry.m_data_center == data_center)
      local.push_back(entry.m_host);
  }
  const std::string holder =
      RendezvousChoice(local.empty() ? all : local, MixHash(replica, 0));
  if (holder.empty())
    return std::nullopt;
  return holder;
}

}  // namespace verbenalead::decide
