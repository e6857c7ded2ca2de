#ifndef VERBENALEAD_ENTRY_CRASH_BLAME_H_
#define VERBENALEAD_ENTRY_CRASH_BLAME_H_

#include <string>
#include <vector>

#include "entry/call_attempt.h"
#include "links/aged_crash_report.h"

namespace verbenalead::entry {

/// Records that the replica of `attempt` crashed under the call, unless the
/// attempt timed out or was cancelled.
void BlameCrash(EntryState& state,
                CallRecord& record,
                const CallAttempt& attempt);

/// Records that the call has been answered whole. If a replica crashed under
/// it, that clears the request but no part of its prompt: the call may have
/// gone on after what crashes replicas.
void RecordWholeAnswer(EntryState& state, const CallRecord& record);

/// Whether the call must not be sent: it, or a part of its prompt, crashes
/// replicas. Asked before each attempt, as the call may have waited meanwhile.
bool IsBlockedCall(const EntryState& state, const CallPlan& plan);

/// Why IsBlockedCall() holds, for the log and the caller: the request itself,
/// or which part of its prompt.
std::string CrashReason(const EntryState& state, const CallPlan& plan);

/// Blocks the parts whose crashes are beyond the limit. Called at each crash
/// and report, and several times a second.
void UpdateBlockedParts(EntryState& state, TimePoint now);

/// Tickets of the waiting calls with blocked parts, which will get no slot.
std::vector<uint64_t> BlockedTickets(const EntryState& state, TimePoint now);

/// Moves new reports to those that are sent, and returns whether there are any.
bool CollectCrashReports(EntryState& state, TimePoint now);
/// The reports to send to other entries of this data centre, or with
/// `of_data_center` to other data centres on behalf of all its entries.
std::vector<links::AgedCrashReport> CrashReportsToSend(const EntryState& state,
                                                       bool of_data_center,
                                                       TimePoint now);
/// Applies the reports of another entry. `local`: it is of this data centre, so
/// its reports are sent on to the others.
void ApplyCrashReports(EntryState& state,
                       const std::vector<links::AgedCrashReport>& reports,
                       const std::string& sender,
                       bool local,
                       TimePoint now);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CRASH_BLAME_H_
