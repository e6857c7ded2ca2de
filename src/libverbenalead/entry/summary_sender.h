#ifndef VERBENALEAD_ENTRY_SUMMARY_SENDER_H_
#define VERBENALEAD_ENTRY_SUMMARY_SENDER_H_

#include "entry/entry_state.h"
#include "links/data_center_summary.h"
#include "links/datagrams.h"

namespace verbenalead::entry {

/// Tells other data centres of this one where it is this entry's part, and
/// hands on what they tell. Not safe for concurrent use.
class SummarySender {
 public:
  /// `state` and `datagrams` outlive this.
  SummarySender(EntryState& state, links::Datagrams& datagrams);

  /// Sends a summary if this entry does that for its data centre and one is
  /// due. Called every kNewsInterval.
  void Tell();
  /// Takes in a summary, and hands it on if it came from its sender.
  void Take(const links::DataCenterSummary& summary);
  /// Whether this entry sends summaries for its data centre.
  bool is_sender() const { return m_is_sender; }

 private:
  EntryState& m_state;
  links::Datagrams& m_datagrams;
  bool m_is_sender = false;
  /// Goes on to rise over a restart of this process.
  uint64_t m_number;
  TimePoint m_sent_at{};
  /// The weights and loads that were told last.
  std::vector<links::ReplicaSummary> m_told;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_SUMMARY_SENDER_H_
