#ifndef VERBENALEAD_ENTRY_EVACUATION_ROWS_H_
#define VERBENALEAD_ENTRY_EVACUATION_ROWS_H_

#include <string>
#include <vector>

#include "entry/entry_state.h"
#include "links/evacuation_report.h"
#include "platform/rows.h"

namespace verbenalead::entry {

/// How an entry applies the operator's rows that evacuate data centres. Each
/// change is logged, exported and applied to the pools of all services.
/// `source`: `store`, `entry`, or the host of an entry.

bool IsEvacuationRow(const platform::Row& row);

/// The key of the row that evacuates `data_center`.
std::string EvacuationKey(const std::string& data_center);

/// Applies a row or its removal, unless the same or something newer is known.
void ApplyEvacuation(EntryState& state,
                     const platform::Row& row,
                     const std::string& source);

/// Applies the absence of rows from `table`, which is whole. Returns the data
/// centres whose evacuation has ended.
std::vector<std::string> EndAbsentEvacuations(EntryState& state,
                                              const platform::Rows& table,
                                              const std::string& source);

/// Ends the evacuations whose rows the store lost when it came back from a
/// copy, and returns their data centres. Does nothing until the operator has
/// had the time to write lost rows again and the store has confirmed that this
/// entry knows the newest rows: a row that is written again keeps its
/// evacuation.
std::vector<std::string> EndEvacuationsMissingFromCopy(EntryState& state);

/// The evacuations to report to other entries.
std::vector<links::EvacuationReport> EvacuationsToReport(
    const EntryState& state,
    TimePoint now);

/// Applies the reports of the entry `host`.
void ApplyEvacuationReports(EntryState& state,
                            const std::vector<links::EvacuationReport>& reports,
                            const std::string& host);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_EVACUATION_ROWS_H_
