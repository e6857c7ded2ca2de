#include "decide/transfer/transfer_limits.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// The take-over delay in chunk times. A new chunk queues behind about as many
/// other chunks as a host has neighbours, at each of two or three hosts on its
/// path; with a shorter delay the next host in rank fetches it from the origin
/// once more. A delay of 33 chunk times (4 s for chunks of 120 ms) duplicated a
/// tenth of all origin fetches, 50 none.
constexpr int64_t kTakeoverDelayChunks = 64;
constexpr Duration kMinTakeoverDelay = 2s;

Duration TransferTime(uint64_t bytes, uint64_t rate) {
  if (rate == 0)
    return Duration();
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(bytes) / static_cast<double>(rate)));
}

}  // namespace

TransferLimits LimitsFor(const TransferLinks& links,
                         TransferPreference preference,
                         uint32_t origin_budget_percent) {
  TransferLimits limits;
  limits.m_preference = preference;
  limits.m_origin_budget_percent = origin_budget_percent;
  limits.m_origin_interval = TransferTime(links.m_chunk_bytes, links.m_origin);
  const Duration chunk_time = TransferTime(links.m_chunk_bytes, links.m_host);
  limits.m_takeover_delay =
      std::max<Duration>(kMinTakeoverDelay, kTakeoverDelayChunks * chunk_time);
  return limits;
}

}  // namespace verbenalead::decide
