#ifndef VERBENALEAD_DECIDE_SUMMARY_ROUTE_H_
#define VERBENALEAD_DECIDE_SUMMARY_ROUTE_H_

#include <random>
#include <string>
#include <vector>

#include "base/time.h"

namespace verbenalead::decide {

/// Another entry, as far as summaries are concerned.
struct SummaryPeer {
  std::string m_host;
  std::string m_data_center;
  /// Something was heard of it not long ago.
  bool m_heard = false;
  /// It takes calls.
  bool m_ready = false;

  friend bool operator==(const SummaryPeer&, const SummaryPeer&) = default;
};

/// Whether the entry `host` sums up its data centre for the others.
///
/// Load: hundreds of entries and replicas in several data centres. Harm: when
/// each target told each far entry of its replica, and each entry each far one
/// of itself, these messages grew with the square of the fleet and took more of
/// the links between regions than the calls did. One entry of a data centre
/// sums it up, three of each other data centre get the sum and hand it on to
/// their neighbours; so they grow with the hosts times the data centres.
///
/// It is the entry whose name is least among those that take calls and are
/// heard of. Two that don't hear each other both send, which does no harm; if
/// the sender dies the next one takes over once it isn't heard of any more.
bool SendsSummary(const std::string& host,
                  const std::string& data_center,
                  const std::vector<SummaryPeer>& peers);

/// Who gets the summary of `data_center`: three entries of each other one,
/// drawn anew each time, so that nobody has to find out which of them is dead
/// or cut off.
std::vector<std::string> SummaryRecipients(
    const std::string& data_center,
    const std::vector<SummaryPeer>& peers,
    std::mt19937_64& random);

/// Far replicas are chosen by these news, which are at most so old.
constexpr Duration kSummaryInterval = 1s;
/// Replicas that begin or end loads are told of sooner. While 30 of them load
/// within four seconds, all changes of this time go together.
constexpr Duration kChangedSummaryInterval = 250ms;

/// Whether a summary is to be sent now. `changed`: a replica has begun or ended
/// a load since the last one was sent.
inline bool IsSummaryDue(TimePoint sent_at, bool changed, TimePoint now) {
  return now - sent_at >=
         (changed ? kChangedSummaryInterval : kSummaryInterval);
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_SUMMARY_ROUTE_H_
