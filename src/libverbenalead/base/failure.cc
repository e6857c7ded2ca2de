#include "base/failure.h"

#include <stdexcept>

namespace verbenalead {

const char* ToString(FailureCode code) {
  switch (code) {
    case FailureCode::kInvalid:
      return "invalid";
    case FailureCode::kNotFound:
      return "not_found";
    case FailureCode::kConflict:
      return "conflict";
    case FailureCode::kTimeout:
      return "timeout";
    case FailureCode::kUnreachable:
      return "unreachable";
    case FailureCode::kBroken:
      return "broken";
    case FailureCode::kRefused:
      return "refused";
    case FailureCode::kCorrupt:
      return "corrupt";
    case FailureCode::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

std::string ToString(const Failure& failure) {
  std::string text = failure.m_step;
  if (!failure.m_peer.empty())
    text += " with " + failure.m_peer;
  text += std::string(": ") + ToString(failure.m_code);
  if (!failure.m_reason.empty())
    text += ": " + failure.m_reason;
  return text;
}

void throw_exception_from_error(const Failure& failure,
                                const boost::source_location&) {
  throw std::runtime_error(ToString(failure));
}

}  // namespace verbenalead
