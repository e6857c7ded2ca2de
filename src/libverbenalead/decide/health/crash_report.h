#ifndef VERBENALEAD_DECIDE_HEALTH_CRASH_REPORT_H_
#define VERBENALEAD_DECIDE_HEALTH_CRASH_REPORT_H_

#include <cstdint>
#include <string>

#include "base/time.h"

namespace verbenalead::decide {

/// What an entry tells the others about a part of prompts and crashes.
struct CrashReport {
  enum class Kind {
    kSuspect,   ///< The replica crashed under a request with the part.
    kAnswered,  ///< A request with the part was answered whole.
    kAlive,     ///< The replica answered after its suspected crash.
    kBlocked,   ///< The part is blocked.
  };
  Kind m_kind = Kind::kSuspect;
  /// Key of the part; 0 for kAlive.
  uint64_t m_part = 0;
  /// Incarnation of the replica; empty for kAnswered and kBlocked.
  std::string m_incarnation;
  /// For kSuspect: key of the request, and whether it had got the head of its
  /// answer.
  uint64_t m_request = 0;
  bool m_had_head = false;
  /// When it happened.
  TimePoint m_at{};

  friend auto operator<=>(const CrashReport&, const CrashReport&) = default;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_HEALTH_CRASH_REPORT_H_
