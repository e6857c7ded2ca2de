#ifndef VERBENALEAD_ENTRY_STATEMENTS_H_
#define VERBENALEAD_ENTRY_STATEMENTS_H_

#include <string>
#include <vector>

#include "entry/entry_state.h"
#include "links/statement_report.h"

namespace verbenalead::entry {

/// Whether a message about the incarnation that began at `started_ms` (0: it
/// doesn't say) is about another one than is known. Messages may be delayed and
/// their senders may learn of a restart later, so such a message says nothing
/// of the known incarnation.
bool IsOfOtherIncarnation(const model::Replica& replica, uint64_t started_ms);

/// Records that a replica is leaving, as `source` (an answer's call, a target,
/// another entry) states, and logs it if it is news.
void LearnLeaving(EntryState& state,
                  decide::ReplicaState& replica,
                  const std::string& source);

/// Records that a replica has asked this entry for a rest in the answer to
/// `call`, and logs the beginning of it.
void LearnRest(EntryState& state,
               decide::ReplicaState& replica,
               Duration rest,
               const std::string& call);

/// Takes over what `source`, another process, knows of the statements of a
/// replica. A report that another incarnation is leaving is ignored.
void ApplyStatements(EntryState& state,
                     decide::ReplicaState& replica,
                     const links::StatementReport& report,
                     const std::string& source,
                     TimePoint now);
void ApplyStatementList(EntryState& state,
                        const std::vector<links::ReplicaStatementReport>& list,
                        const std::string& source,
                        TimePoint now);

/// Records whom the entry `host` takes for the holders of token buckets.
void ApplyHolderClaims(EntryState& state,
                       const std::vector<links::ReplicaStatementReport>& list,
                       const std::string& host,
                       TimePoint now);

/// What this entry knows of the statements of `replica`.
links::StatementReport StatementsOf(const decide::ReplicaState& replica,
                                    TimePoint now);

/// The known statements of replicas, for updates to other entries: leaving
/// replicas, and the rate limits of replicas without a target process. An entry
/// that has not called such a replica yet would send it calls until the first
/// answer. Each update repeats them, so a lost one does no harm.
std::vector<links::ReplicaStatementReport> StatementsToReport(
    const EntryState& state,
    TimePoint now);

/// Whether `a` and `b` state the same, whatever the age of the observations.
bool StateTheSame(const std::vector<links::ReplicaStatementReport>& a,
                  const std::vector<links::ReplicaStatementReport>& b);

/// Exports the rate limit of each replica that has one, and the numbers of
/// replicas that are leaving and at rest.
void ExportStatements(EntryState& state);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_STATEMENTS_H_
