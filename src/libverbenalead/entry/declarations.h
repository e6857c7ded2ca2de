#ifndef VERBENALEAD_ENTRY_DECLARATIONS_H_
#define VERBENALEAD_ENTRY_DECLARATIONS_H_

#include <string>
#include <vector>

#include "entry/entry_state.h"
#include "links/declaration_report.h"

namespace verbenalead::entry {

/// Applies the declaration of a version of the weights, made on `date` as far
/// as `source` tells: `store`, `entry`, or the host of an entry. A date that is
/// better than the one known moves the time at which the version binds. Logs
/// each change.
void ApplyDeclaration(EntryState& state,
                      const std::string& model,
                      uint64_t version,
                      decide::DeclarationDate date,
                      const std::string& source);

/// The date of a declaration of which nothing is known but that it was made
/// before this process read it.
decide::DeclarationDate AssumedDate(const EntryState& state);

/// The declarations to report to other entries, with the dates that are known:
/// those that don't bind yet or have begun to bind a short while ago.
std::vector<links::DeclarationReport> DeclarationsToReport(
    const EntryState& state,
    TimePoint now);

/// The same for target processes whose replicas run `model`.
std::vector<links::DeclarationAge> DeclarationAges(const EntryState& state,
                                                   const std::string& model,
                                                   TimePoint now);

/// Applies the reports of `source`. Ignores those in the store's time of an era
/// whose clock this entry doesn't know: they are repeated.
void ApplyDeclarationReports(
    EntryState& state,
    const std::vector<links::DeclarationReport>& reports,
    const std::string& source);

/// Whether this entry guesses the date of a declaration that doesn't bind yet.
bool GuessesDeclarationDate(const EntryState& state, TimePoint now);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_DECLARATIONS_H_
