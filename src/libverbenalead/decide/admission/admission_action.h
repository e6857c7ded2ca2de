#ifndef VERBENALEAD_DECIDE_ADMISSION_ADMISSION_ACTION_H_
#define VERBENALEAD_DECIDE_ADMISSION_ADMISSION_ACTION_H_

#include <cstdint>
#include <string>

#include "base/time.h"

namespace verbenalead::decide {

/// The decision of the admission queue about one call: start it or refuse it.
struct AdmissionAction {
  enum class Kind { kStart, kRefuse };
  Kind m_kind = Kind::kStart;
  /// The ticket of the call, as passed to CallArrived().
  uint64_t m_ticket = 0;
  /// Set for kRefuse, as is m_retry_after: the reason that the response gives.
  std::string m_reason;
  Duration m_retry_after{};

  friend bool operator==(const AdmissionAction&,
                         const AdmissionAction&) = default;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ADMISSION_ADMISSION_ACTION_H_
