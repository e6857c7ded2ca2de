#ifndef VERBENALEAD_ENTRY_CALLER_ADDRESSES_H_
#define VERBENALEAD_ENTRY_CALLER_ADDRESSES_H_

#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "entry/entry_state.h"
#include "platform/directory_request.h"

namespace verbenalead::entry {

/// Returns at most `limit` entries that the caller should use: the ready
/// entries of its data centre or, if these are too few, the ready entries of
/// all data centres. If no entry is ready, returns entries that are not.
///
/// If the host's routes, or organisations that call it, name regions, the list
/// has no entries outside these regions and the caller's own region, unless
/// there are no others: the body of a call must not leave these regions.
///
/// Entries are listed by host name, starting at this entry and wrapping around.
/// So the entries of a data centre leave out different ones where `limit` cuts
/// the list, and every entry receives its share of the callers.
std::vector<Endpoint> EntriesForCallers(
    const EntryState& state,
    const platform::DirectoryRequest& request,
    size_t limit,
    TimePoint now);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CALLER_ADDRESSES_H_
