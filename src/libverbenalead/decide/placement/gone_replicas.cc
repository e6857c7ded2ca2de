#include "decide/placement/gone_replicas.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// Time for which a removal is remembered; a copy is seconds old.
constexpr Duration kRemembered = std::chrono::minutes(1);
constexpr size_t kMaxRemembered = 4096;

}  // namespace

void RecordGone(GoneReplicas& gone,
                const model::Replica& replica,
                Duration now) {
  gone.m_gone[replica.m_id] = {replica, now + kRemembered, std::nullopt};
  std::erase_if(gone.m_gone, [now](const auto& entry) {
    return entry.second.m_forget_at <= now;
  });
  if (gone.m_gone.size() <= kMaxRemembered)
    return;
  gone.m_gone.erase(std::min_element(
      gone.m_gone.begin(), gone.m_gone.end(), [](const auto& a, const auto& b) {
        return a.second.m_forget_at < b.second.m_forget_at;
      }));
}

bool IsBackFromCopy(GoneReplicas& gone,
                    const model::Replica& listed,
                    std::optional<Duration> era_since,
                    Duration now) {
  const auto found = gone.m_gone.find(listed.m_id);
  if (found == gone.m_gone.end())
    return false;
  GoneReplicas::Gone& known = found->second;
  const bool from_copy =
      model::SameIncarnation(known.m_replica, listed) &&
      listed.m_revision.m_era > known.m_replica.m_revision.m_era &&
      listed.m_revision == known.m_in_copy.value_or(listed.m_revision) &&
      era_since && now < *era_since + kDeadRowsExpireWithin;
  if (!from_copy) {
    gone.m_gone.erase(found);
    return false;
  }
  known.m_in_copy = listed.m_revision;
  return true;
}

}  // namespace verbenalead::decide
