#include "decide/transfer/origin_probe.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// An answer counts for this long against failures and against announcements of
/// probes.
constexpr Duration kAnswerLifetime = 300ms;
/// Probes that are heard of within this time were started independently of each
/// other. All hosts follow the one whose host has the lowest name.
constexpr Duration kSameTurn = kProbeInterval / 2;
/// Limits for the answer to a probe, and the part of the outage's time in
/// between.
constexpr Duration kMinProbeTimeout = 300ms;
constexpr Duration kMaxProbeTimeout = 2s;
constexpr int kTimeoutDivisor = 8;

size_t PositionOf(const std::vector<TransferMember>& members,
                  const std::string& host) {
  const auto found = std::find_if(
      members.begin(), members.end(),
      [&](const TransferMember& member) { return member.m_name == host; });
  return found == members.end() ? 0
                                : static_cast<size_t>(found - members.begin());
}

void SetAway(OriginProbe& probe, TimePoint now) {
  if (!probe.m_unavailable)
    probe.m_unavailable_since = now;
  probe.m_unavailable = true;
}

void FollowProbe(OriginProbe& probe, const std::string& host, TimePoint now) {
  SetAway(probe, now);
  if (!probe.m_last_prober.empty() && now - probe.m_last_probe < kSameTurn &&
      probe.m_last_prober < host)
    return;
  probe.m_last_prober = host;
  probe.m_last_probe = now;
}

}  // namespace

void RecordOriginUnreachable(OriginProbe& probe, TimePoint now) {
  if (probe.m_unavailable || now - probe.m_last_answer < kAnswerLifetime)
    return;
  SetAway(probe, now);
  probe.m_last_prober.clear();
  probe.m_last_probe = now;
}

bool RecordOriginProbe(OriginProbe& probe,
                       const std::string& host,
                       TimePoint now) {
  if (!probe.m_unavailable && now - probe.m_last_answer < kAnswerLifetime)
    return false;
  FollowProbe(probe, host, now);
  return true;
}

bool RecordProbeAnswer(OriginProbe& probe, TimePoint now) {
  const bool was_away = probe.m_unavailable;
  probe.m_unavailable = false;
  probe.m_last_answer = now;
  return was_away;
}

Duration ProbeTimeout(const OriginProbe& probe, TimePoint now) {
  return std::clamp<Duration>(
      (now - probe.m_unavailable_since) / kTimeoutDivisor, kMinProbeTimeout,
      kMaxProbeTimeout);
}

TimePoint NextProbeTime(const OriginProbe& probe,
                        const std::vector<TransferMember>& members,
                        const std::string& self) {
  if (probe.m_last_prober.empty())
    return probe.m_last_probe;
  const size_t count = std::max<size_t>(1, members.size());
  const size_t last = PositionOf(members, probe.m_last_prober);
  const size_t own = PositionOf(members, self);
  const size_t turns = (own + count - last - 1) % count + 1;
  return probe.m_last_probe + static_cast<int64_t>(turns) * kProbeInterval;
}

}  // namespace verbenalead::decide
