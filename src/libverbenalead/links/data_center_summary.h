#ifndef VERBENALEAD_LINKS_DATA_CENTER_SUMMARY_H_
#define VERBENALEAD_LINKS_DATA_CENTER_SUMMARY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "decide/health/quarantine.h"
#include "links/aged_crash_report.h"
#include "links/entry_summary.h"
#include "links/replica_summary.h"
#include "links/statement_report.h"
#include "model/revision.h"

namespace verbenalead::links {

/// State of the entries and replicas of one data centre, sent by one of its
/// entries to the other data centres. With it, entries needn't receive updates
/// from each entry and each target process of other data centres.
struct DataCenterSummary {
  std::string m_data_center;
  /// Host of the entry that made the summary, and the summary's sequence
  /// number: of two summaries by the same entry, the one with the higher number
  /// is newer.
  std::string m_sender;
  uint64_t m_sequence = 0;
  /// Set on the copies that the first recipient forwards to the other entries
  /// of its data centre; these copies aren't forwarded again.
  bool m_relayed = false;
  /// Revision of the newest change of the operator's table that the sender has,
  /// and the store's time at which the store confirmed that there was no newer
  /// one. The time is zero if the sender has lost its connection to the store.
  model::Revision m_operator_revision;
  Duration m_operator_confirmed_at{};
  /// As in EntryUpdate.
  std::optional<Duration> m_era_age;
  std::vector<EntrySummary> m_entries;
  std::vector<ReplicaSummary> m_replicas;
  /// Crashes of replicas that entries of the data centre saw recently.
  std::vector<decide::CrashRecord> m_crashes;
  /// The same by parts of prompts.
  std::vector<AgedCrashReport> m_crash_reports;
  /// As in EntryUpdate.
  std::vector<ReplicaStatementReport> m_statements;

  friend bool operator==(const DataCenterSummary&,
                         const DataCenterSummary&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_DATA_CENTER_SUMMARY_H_
