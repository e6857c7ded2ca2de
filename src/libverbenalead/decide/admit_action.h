#ifndef VERBENALEAD_DECIDE_ADMIT_ACTION_H_
#define VERBENALEAD_DECIDE_ADMIT_ACTION_H_

#include <cstdint>
#include <string>

#include "base/time.h"

namespace verbenalead::decide {

/// What admission tells its daemon to do with one call.
struct AdmitAction {
  enum class Kind { kStart, kRefuse };
  Kind m_kind = Kind::kStart;
  /// The ticket that Arrive() was given.
  uint64_t m_ticket = 0;
  /// Set for kRefuse.
  std::string m_reason;
  Duration m_retry_after{};

  friend bool operator==(const AdmitAction&, const AdmitAction&) = default;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ADMIT_ACTION_H_
