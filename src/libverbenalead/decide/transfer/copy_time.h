#ifndef VERBENALEAD_DECIDE_TRANSFER_COPY_TIME_H_
#define VERBENALEAD_DECIDE_TRANSFER_COPY_TIME_H_

#include <cstdint>

#include "base/time.h"
#include "model/engine_profile.h"

namespace verbenalead::decide {

/// Time of a copy of the weights over a link; zero if its rate, in bytes per
/// second, is not known.
inline Duration CopyTime(const model::EngineProfile& engine, uint64_t rate) {
  const double bytes = static_cast<double>(engine.m_chunk_bytes) *
                       static_cast<double>(engine.m_chunks);
  return rate == 0 ? Duration()
                   : std::chrono::duration_cast<Duration>(
                         std::chrono::duration<double>(
                             bytes / static_cast<double>(rate)));
}

/// Whether the origin needs at least `min_share` of the bound for new weights
/// to send one copy.
///
/// Load: an origin that is unavailable for seconds while a version is fetched.
/// Harm: if a copy takes a large part of the bound, the rest of the time after
/// the outage doesn't suffice for a second try, so hosts have to prepare for
/// outages. An origin that sends a copy in a small part of the bound is fetched
/// from again.
inline bool IsOriginScarce(Duration copy, Duration bound, double min_share) {
  return std::chrono::duration<double>(copy) >=
         std::chrono::duration<double>(bound) * min_share;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_COPY_TIME_H_
