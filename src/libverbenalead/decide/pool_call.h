#ifndef VERBENALEAD_DECIDE_POOL_CALL_H_
#define VERBENALEAD_DECIDE_POOL_CALL_H_

#include <cstdint>
#include <set>
#include <string>

#include "base/time.h"

namespace verbenalead::decide {

/// What placing a call needs to know of it.
struct PoolCall {
  uint64_t m_ticket = 0;
  /// It can still be on time. Calls that can't stand behind those that can.
  bool m_fresh = true;
  int m_urgency = 0;
  uint32_t m_prompt_tokens = 0;
  /// By then its prompt, and all before it, must have been read if it is to be
  /// on time; the end of time where that isn't known.
  TimePoint m_read_by = TimePoint::max();
  /// How long it is likely to run; zero: not known.
  Duration m_length{};
  /// Replicas that it was sent to already.
  std::set<std::string> m_tried;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_POOL_CALL_H_
