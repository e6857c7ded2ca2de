#ifndef VERBENALEAD_LINKS_COLD_LOG_H_
#define VERBENALEAD_LINKS_COLD_LOG_H_

#include <string>

#include "decide/limits/cold_state.h"
#include "model/service.h"

namespace verbenalead::links {

/// Logs that the cold time of `replica` has begun, changed by a second or more,
/// or ended since the last call, and returns whether it has. `logged_until` is
/// the end that was logged last; the default: it was warm.
bool LogColdChange(const std::string& replica,
                   const decide::ColdState& cold,
                   TimePoint& logged_until,
                   TimePoint now);

/// Logs a cold time, or the rate and the time of a service, that can't be used
/// and is ignored.
void LogBadColdTime(const std::string& replica,
                    Duration left,
                    const std::string& source);
void LogBadColdService(const model::Service& service);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_COLD_LOG_H_
