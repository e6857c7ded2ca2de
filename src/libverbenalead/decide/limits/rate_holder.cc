#include "decide/limits/rate_holder.h"

#include <algorithm>
#include <utility>

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

bool ConfirmTerm(HolderTerm& term, TimePoint now) {
  const TimePoint last = std::exchange(term.m_confirmed_at, now);
  const bool begins = last == TimePoint() || now - last > kMaxTermGap;
  if (begins)
    term.m_began_at = now;
  return begins;
}

Duration TermPauseLeft(const HolderTerm& term, TimePoint now) {
  return std::max(Duration(), term.m_began_at + kTermPause - now);
}

bool IsAgreedHolder(const std::map<std::string, HolderClaim>& claims,
                    const std::string& self,
                    TimePoint now) {
  size_t heard = 1;
  size_t agreed = 1;
  for (const auto& [entry, claim] : claims) {
    if (now - claim.m_heard_at >= kClaimLifetime)
      continue;
    ++heard;
    agreed += claim.m_holder == self ? 1 : 0;
  }
  return 2 * agreed > heard;
}

}  // namespace verbenalead::decide
