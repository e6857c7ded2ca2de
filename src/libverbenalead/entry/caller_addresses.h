#ifndef VERBENALEAD_ENTRY_CALLER_ADDRESSES_H_
#define VERBENALEAD_ENTRY_CALLER_ADDRESSES_H_

#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "entry/entry_state.h"

namespace verbenalead::entry {

/// Returns at most `limit` entries that callers in `data_center` should use:
/// the ready entries of that data centre or, if these are too few, the ready
/// entries of all data centres. If no entry is ready, returns entries that are
/// not.
///
/// Entries are listed by host name, starting at this entry and wrapping around.
/// So the entries of a data centre leave out different ones where `limit` cuts
/// the list, and every entry receives its share of the callers.
std::vector<Endpoint> EntriesForCallers(const EntryState& state,
                                        const std::string& data_center,
                                        size_t limit,
                                        TimePoint now);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CALLER_ADDRESSES_H_
