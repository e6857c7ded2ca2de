#ifndef VERBENALEAD_DECIDE_ROLLOUT_EXPECTED_RETURN_H_
#define VERBENALEAD_DECIDE_ROLLOUT_EXPECTED_RETURN_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "base/time.h"
#include "decide/placement/replica_pool.h"

namespace verbenalead::decide {

/// Number of loading replicas that are expected to take calls again by a time.
struct ExpectedReturn {
  TimePoint m_at{};
  size_t m_replicas = 0;

  friend bool operator==(const ExpectedReturn&,
                         const ExpectedReturn&) = default;
};

/// When the replicas of `pool` that load weights are expected back, by time,
/// each with the number of all that are back by then. `load`: time that a load
/// takes. A replica that has been out for longer than expected is expected
/// soon.
std::vector<ExpectedReturn> ExpectedReturns(const ReplicaPool& pool,
                                            Duration load,
                                            TimePoint now);

/// Time after which a call that found no usable replica should be tried again;
/// nothing if no replica loads weights.
///
/// Load: all replicas load new weights, and thousands of calls arrive
/// meanwhile. Harm: a caller that comes back before the loads end is refused
/// again and has no further try; one that comes back much later waits without
/// need. The first replica that is back can't serve all of them, so the time is
/// that at which a quarter of the loading replicas are back.
std::optional<Duration> WaitForLoads(const ReplicaPool& pool,
                                     Duration load,
                                     TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_EXPECTED_RETURN_H_
