#ifndef VERBENALEAD_ENTRY_SUMMARY_SENDER_H_
#define VERBENALEAD_ENTRY_SUMMARY_SENDER_H_

#include "entry/entry_state.h"
#include "links/data_center_summary.h"
#include "links/datagram_socket.h"

namespace verbenalead::entry {

/// Sends summaries of this data centre to others, if this entry is the one that
/// does so, and relays their summaries to the entries of this data centre. One
/// sender for each data centre keeps the number of messages between regions
/// small. Not safe for concurrent use.
class SummarySender {
 public:
  /// `state` and `datagrams` outlive this.
  SummarySender(EntryState& state, links::DatagramSocket& datagrams);

  /// Sends a summary if this entry sends them for its data centre and one is
  /// due. Called every kUpdateSendInterval.
  void SendIfDue();
  /// Applies a summary, and relays it if it came directly from its sender.
  void HandleSummary(const links::DataCenterSummary& summary);
  /// Whether this entry sends summaries for its data centre.
  bool is_sender() const { return m_is_sender; }

 private:
  EntryState& m_state;
  links::DatagramSocket& m_datagrams;
  bool m_is_sender = false;
  /// Sequence number of the last summary. It starts at the clock's
  /// milliseconds, so that it keeps rising over a restart of this process;
  /// receivers would otherwise drop the new summaries as old.
  uint64_t m_sequence;
  TimePoint m_sent_at{};
  /// The replicas of the last summary, to detect changed weights and loads.
  std::vector<links::ReplicaSummary> m_last_sent;
  std::vector<links::ReplicaStatementReport> m_last_statements;
  std::vector<links::AgedCrashReport> m_last_reports;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_SUMMARY_SENDER_H_
