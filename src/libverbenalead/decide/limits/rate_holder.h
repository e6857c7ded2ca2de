#ifndef VERBENALEAD_DECIDE_LIMITS_RATE_HOLDER_H_
#define VERBENALEAD_DECIDE_LIMITS_RATE_HOLDER_H_

#include <optional>
#include <string>
#include <vector>

#include "decide/membership/summary_route.h"

namespace verbenalead::decide {

/// Returns the host of the entry that holds the token bucket of a replica that
/// has no target process, or nothing if no entry can.
///
/// It is one of the entries that take calls and were seen recently, in the data
/// centre of the replica if there are any: entries of one data centre hear of
/// each other at once, so that all agree on the holder soon after one has died.
/// Each replica has its own holder, chosen by rendezvous hashing, so that the
/// requests for tokens are spread over the entries and few replicas get another
/// holder when an entry starts or stops.
///
/// Two entries may choose different holders for a moment. A process answers
/// only if it is the holder by its own choice, and a new holder starts with an
/// empty bucket, so a replica gets at most twice its rate for that moment.
std::optional<std::string> RateHolder(const std::string& replica,
                                      const std::string& data_center,
                                      const std::vector<SummaryPeer>& entries);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_LIMITS_RATE_HOLDER_H_
