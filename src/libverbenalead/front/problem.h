#ifndef VERBENALEAD_FRONT_PROBLEM_H_
#define VERBENALEAD_FRONT_PROBLEM_H_

#include <cstdint>
#include <string>

#include "base/time.h"
#include "model/outcome.h"
#include "wire/response.h"

namespace verbenalead::front {

/// Describes to a caller why its call has no answer from a target.
struct Problem {
  model::Outcome m_outcome = model::Outcome::kRefused;
  std::string m_reason;
  std::string m_request;
  std::string m_target;
  std::string m_version;
  uint32_t m_attempts = 0;
  /// Delay after which the caller may retry; zero: a retry won't help.
  Duration m_retry_after{};
  /// HTTP status; 0: the usual one for the outcome.
  int m_status = 0;

  friend bool operator==(const Problem&, const Problem&) = default;
};

/// Returns the problem document (RFC 9457) for `problem`, with Retry-After in
/// whole seconds, rounded up.
wire::Response ToResponse(const Problem& problem);

}  // namespace verbenalead::front

#endif  // VERBENALEAD_FRONT_PROBLEM_H_
