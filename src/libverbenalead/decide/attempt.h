#ifndef VERBENALEAD_DECIDE_ATTEMPT_H_
#define VERBENALEAD_DECIDE_ATTEMPT_H_

#include <compare>
#include <cstdint>
#include <string>

namespace verbenalead::decide {

/// One try of a call at one target.
struct Attempt {
  /// Names one call of one entry. Not the request id: that is the caller's own,
  /// and a caller that sends a request again uses it again.
  std::string m_call;
  uint32_t m_number = 0;

  friend auto operator<=>(const Attempt&, const Attempt&) = default;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ATTEMPT_H_
