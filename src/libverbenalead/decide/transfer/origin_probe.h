#ifndef VERBENALEAD_DECIDE_TRANSFER_ORIGIN_PROBE_H_
#define VERBENALEAD_DECIDE_TRANSFER_ORIGIN_PROBE_H_

#include <string>
#include <vector>

#include "base/time.h"
#include "decide/transfer/transfer_member.h"

namespace verbenalead::decide {

/// Whether the origin answers, and which host requests a chunk from it while it
/// doesn't.
///
/// Load: an origin that is unavailable for seconds while all hosts lack chunks.
/// Harm: each host retries after its own backoff, so that the first one notices
/// the return up to 0.5 s late, and the last ones seconds later.
///
/// The hosts take turns in the order of their names: each one announces its
/// probe, and the next host probes kProbeInterval after it heard of that. A
/// host that is dead or has nothing to fetch is passed over, as each host
/// counts the turns between the last known probe and its own.
struct OriginProbe {
  /// The origin is unavailable, as far as this host knows.
  bool m_unavailable = false;
  TimePoint m_unavailable_since{};
  /// When the origin last answered this host or one that announced it.
  TimePoint m_last_answer{};
  /// The last probe of any host, and when it was heard of. Empty: this host has
  /// found the origin unavailable and heard of no probe since.
  std::string m_last_prober;
  TimePoint m_last_probe{};
};

/// Time from hearing of a probe until the next host starts its own. With the
/// delay of the announcement, the origin is probed about every 100 ms.
constexpr Duration kProbeInterval = 70ms;

/// A request of this host to the origin failed. A failure shortly after an
/// answer says nothing: single connections break. Otherwise this host probes at
/// once, so that the others learn of the outage.
void RecordOriginUnreachable(OriginProbe& probe, TimePoint now);
/// `host` announced that it probes the unavailable origin. Returns whether the
/// announcement was accepted; it isn't shortly after an answer, because it may
/// have been sent before that.
bool RecordOriginProbe(OriginProbe& probe,
                       const std::string& host,
                       TimePoint now);
/// The origin answered, here or elsewhere. Returns whether it was unavailable.
bool RecordProbeAnswer(OriginProbe& probe, TimePoint now);
/// How long a probe may wait for the head of its answer. It grows with the time
/// of the outage: an origin that answers each request after more than the
/// shortest limit would otherwise never be seen to answer.
Duration ProbeTimeout(const OriginProbe& probe, TimePoint now);
/// When it is the turn of `self`; `members` are in the same order on all hosts.
TimePoint NextProbeTime(const OriginProbe& probe,
                        const std::vector<TransferMember>& members,
                        const std::string& self);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_ORIGIN_PROBE_H_
