#ifndef VERBENALEAD_ENTRY_CALLER_ADDRESSES_H_
#define VERBENALEAD_ENTRY_CALLER_ADDRESSES_H_

#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"
#include "entry/entry_state.h"

namespace verbenalead::entry {

/// Entries that callers of `data_center` should use: those there, if there are
/// enough of them, else all; `most` of them. Entries near each other leave out
/// different ones, so that each gets its part of the callers.
std::vector<Endpoint> EntriesFor(const EntryState& state,
                                 const std::string& data_center,
                                 size_t most,
                                 TimePoint now);

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CALLER_ADDRESSES_H_
