#ifndef VERBENALEAD_ENTRY_SUMMARY_H_
#define VERBENALEAD_ENTRY_SUMMARY_H_

#include "decide/summary_route.h"
#include "entry/entry_state.h"
#include "links/data_center_summary.h"

namespace verbenalead::entry {

/// The other entries, as `decide::SendsSummary` and `decide::SummaryRecipients`
/// take them.
std::vector<decide::SummaryPeer> SummaryPeersOf(const EntryState& state,
                                                TimePoint now);

/// What this entry knows of its data centre. `m_number` is left open.
links::DataCenterSummary SummaryOf(const EntryState& state, TimePoint now);

/// Takes in what another data centre tells of itself; false: a newer summary by
/// the same sender is known, or it speaks of this data centre.
bool TakeSummary(EntryState& state,
                 const links::DataCenterSummary& summary,
                 TimePoint now);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_SUMMARY_H_
