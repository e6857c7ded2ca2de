#ifndef VERBENALEAD_ENTRY_SUMMARY_H_
#define VERBENALEAD_ENTRY_SUMMARY_H_

#include "decide/membership/summary_route.h"
#include "entry/entry_state.h"
#include "links/data_center_summary.h"

namespace verbenalead::entry {

/// The other entries, in the form that `decide::IsSummarySender` and
/// `decide::SummaryRecipients` expect.
std::vector<decide::SummaryPeer> ToSummaryPeers(const EntryState& state,
                                                TimePoint now);

/// Builds the summary of this entry's data centre: its entries, its replicas
/// and the crashes seen there. The sender sets `m_sequence`.
links::DataCenterSummary SummaryOf(const EntryState& state, TimePoint now);

/// Applies the summary of another data centre. False: it was ignored, because
/// this or a newer summary of the same sender was already applied, or because
/// it describes this data centre.
bool ApplySummary(EntryState& state,
                  const links::DataCenterSummary& summary,
                  TimePoint now);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_SUMMARY_H_
