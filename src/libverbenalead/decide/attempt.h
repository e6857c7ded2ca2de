#ifndef VERBENALEAD_DECIDE_ATTEMPT_H_
#define VERBENALEAD_DECIDE_ATTEMPT_H_

#include <compare>
#include <cstdint>
#include <string>

namespace verbenalead::decide {

/// One try of a request at one target.
struct Attempt {
  std::string m_request;
  uint32_t m_number = 0;

  friend auto operator<=>(const Attempt&, const Attempt&) = default;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ATTEMPT_H_
