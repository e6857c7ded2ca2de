#include "target/supply_tracker.h"

namespace verbenalead::target {
namespace {

/// Versions for which chunks are remembered, the newest ones.
constexpr size_t kMaxVersions = 8;
/// Given-up versions that are remembered and announced, the newest ones. Older
/// ones are no longer declared when so many newer ones are.
constexpr size_t kMaxGivenUp = 8;

}  // namespace

void SupplyTracker::RecordOriginFetched(uint64_t version,
                                        const std::vector<uint32_t>& chunks,
                                        TimePoint now) {
  if (chunks.empty())
    return;
  for (size_t i = 0; i < chunks.size(); ++i)
    decide::RecordCompletion(m_rate, now);
  m_origin_fetched[version].insert(chunks.begin(), chunks.end());
  if (m_origin_fetched.size() > kMaxVersions)
    m_origin_fetched.erase(m_origin_fetched.begin());
}

const std::set<uint32_t>& SupplyTracker::OriginFetched(uint64_t version) const {
  static const std::set<uint32_t> kNone;
  const auto found = m_origin_fetched.find(version);
  return found == m_origin_fetched.end() ? kNone : found->second;
}

bool SupplyTracker::GiveUp(uint64_t version) {
  const bool added = m_given_up.insert(version).second;
  if (m_given_up.size() > kMaxGivenUp)
    m_given_up.erase(m_given_up.begin());
  return added;
}

}  // namespace verbenalead::target
