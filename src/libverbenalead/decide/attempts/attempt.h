#ifndef VERBENALEAD_DECIDE_ATTEMPTS_ATTEMPT_H_
#define VERBENALEAD_DECIDE_ATTEMPTS_ATTEMPT_H_

#include <compare>
#include <cstdint>
#include <string>

namespace verbenalead::decide {

/// Identifies one attempt to run a call at one target. The gate of a target
/// uses it to recognise duplicated and late messages of the same attempt.
struct Attempt {
  /// Identifies one call of one entry. Not the request id, which the caller
  /// chooses and reuses when it retries a request.
  std::string m_call;
  /// Number of the attempt within its call.
  uint32_t m_number = 0;

  friend auto operator<=>(const Attempt&, const Attempt&) = default;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ATTEMPTS_ATTEMPT_H_
