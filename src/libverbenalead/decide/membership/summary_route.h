#ifndef VERBENALEAD_DECIDE_MEMBERSHIP_SUMMARY_ROUTE_H_
#define VERBENALEAD_DECIDE_MEMBERSHIP_SUMMARY_ROUTE_H_

#include <random>
#include <string>
#include <vector>

#include "base/time.h"

namespace verbenalead::decide {

/// Another entry, with the fields that decide who sends and receives summaries.
struct SummaryPeer {
  std::string m_host;
  std::string m_data_center;
  /// Whether an update about it was received recently.
  bool m_recently_seen = false;
  /// Whether it takes calls.
  bool m_ready = false;

  friend bool operator==(const SummaryPeer&, const SummaryPeer&) = default;
};

/// Whether the entry `host` sends the summary of its data centre to the others.
///
/// Load: hundreds of entries and replicas in several data centres. Harm: when
/// each target sent the state of its replica to each remote entry, and each
/// entry its own state to each remote entry, these messages grew with the
/// square of the fleet and took more of the links between regions than the
/// calls did. Instead, one entry of a data centre sends a summary of it to
/// three entries of each other data centre, which relay it to the other entries
/// of theirs. The messages then grow with the number of hosts times the number
/// of data centres.
///
/// The sender is the entry with the least name among those that take calls and
/// sent updates recently. Two entries that do not receive each other's updates
/// both send, which does no harm. If the sender dies, the next entry takes over
/// once the updates of the sender have stopped for long enough.
bool IsSummarySender(const std::string& host,
                     const std::string& data_center,
                     const std::vector<SummaryPeer>& peers);

/// The recipients of the summary of `data_center`: three entries of each other
/// data centre, chosen at random each time, so that no entry has to detect
/// which of them are dead or cut off.
std::vector<std::string> SummaryRecipients(
    const std::string& data_center,
    const std::vector<SummaryPeer>& peers,
    std::mt19937_64& random);

/// Interval between summaries, and so the greatest age of the state by which
/// remote replicas are chosen.
constexpr Duration kSummaryInterval = 1s;
/// Shorter interval, used after such a change (see IsSummaryDue()). While 30
/// replicas load within four seconds, all changes of one interval are sent
/// together.
constexpr Duration kLoadChangeSummaryInterval = 250ms;

/// Whether a summary is due. `changed`: since the last one was sent, a replica
/// has begun or finished a load or has stated something new of itself.
inline bool IsSummaryDue(TimePoint sent_at, bool changed, TimePoint now) {
  return now - sent_at >=
         (changed ? kLoadChangeSummaryInterval : kSummaryInterval);
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_MEMBERSHIP_SUMMARY_ROUTE_H_
