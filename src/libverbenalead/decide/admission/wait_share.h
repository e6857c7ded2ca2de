#ifndef VERBENALEAD_DECIDE_ADMISSION_WAIT_SHARE_H_
#define VERBENALEAD_DECIDE_ADMISSION_WAIT_SHARE_H_

#include <algorithm>

namespace verbenalead::decide {

/// Share of their wait limit for which calls of a service actually wait for a
/// slot. It adapts to how many of these calls are late.
///
/// Load: a pool above its capacity, where calls are placed at the last moment
/// at which they can be on time. Harm: delays that the estimate doesn't
/// include, such as slow replicas and queues on links, make these calls late,
/// and each takes a slot from a call that would have been on time. Long prompts
/// have a short wait limit, and a fixed safety margin for all calls would leave
/// them none. So the wait limit of each kind of call is shortened by the same
/// share.
struct WaitShare {
  double m_share = 1;

  friend bool operator==(const WaitShare&, const WaitShare&) = default;
};

/// Accepted share of late calls among those that have waited for a slot. With a
/// lower one, slots stay empty although several calls wait that could have been
/// on time.
constexpr double kAcceptedLateShare = 0.05;
/// Reduction of the share by each late call. Ten late calls in a row halve the
/// wait limit.
constexpr double kLateCallStep = 0.05;
/// Lower bound of the share. If calls are late even at this share, the replicas
/// are so slow that a shorter wait doesn't help.
constexpr double kMinWaitShare = 0.3;

/// Adapts the share when a call that waited for its slot begins to answer. The
/// share stays constant on average while a part kAcceptedLateShare of these
/// calls is late.
inline void NoteFirstEvent(WaitShare& share, bool late) {
  constexpr double kRise =
      kLateCallStep * kAcceptedLateShare / (1 - kAcceptedLateShare);
  share.m_share = std::clamp(share.m_share + (late ? -kLateCallStep : kRise),
                             kMinWaitShare, 1.0);
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ADMISSION_WAIT_SHARE_H_
