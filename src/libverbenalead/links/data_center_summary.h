#ifndef VERBENALEAD_LINKS_DATA_CENTER_SUMMARY_H_
#define VERBENALEAD_LINKS_DATA_CENTER_SUMMARY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "decide/quarantine.h"
#include "links/entry_summary.h"
#include "links/replica_summary.h"

namespace verbenalead::links {

/// What one entry tells another data centre of its own: all that entries there
/// need to know of far entries and replicas.
struct DataCenterSummary {
  std::string m_data_center;
  /// Host of the entry that made it, and its number there: of two summaries by
  /// the same entry the one with the higher number is newer.
  std::string m_sender;
  uint64_t m_number = 0;
  /// Its recipient hands it on to its neighbours, who don't.
  bool m_relayed = false;
  /// The newest change of the operator's table that the sender has, and the
  /// store's time at which the store said that there was no newer one.
  uint64_t m_operator_revision = 0;
  Duration m_operator_proof{};
  std::vector<EntrySummary> m_entries;
  std::vector<ReplicaSummary> m_replicas;
  /// Crashes that entries there saw lately.
  std::vector<decide::CrashNote> m_crashes;

  friend bool operator==(const DataCenterSummary&,
                         const DataCenterSummary&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_DATA_CENTER_SUMMARY_H_
