#ifndef VERBENALEAD_BASE_FAILURE_H_
#define VERBENALEAD_BASE_FAILURE_H_

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <boost/system/result.hpp>
#include <string>

namespace verbenalead {

/// Why an operation failed. The code determines whether a retry is safe.
enum class FailureCode {
  kInvalid,      ///< The input is invalid; a retry would fail again.
  kNotFound,     ///< The requested object does not exist.
  kConflict,     ///< Another writer's change was committed first.
  kTimeout,      ///< No response before the deadline: the effect is unknown.
  kUnreachable,  ///< No connection was established: nothing was sent.
  kBroken,       ///< The connection broke midway: the effect is unknown.
  kRefused,      ///< The peer replied that it did not execute the operation.
  kCorrupt,      ///< The received bytes do not match what was declared.
  kCancelled,    ///< The operation was cancelled locally.
};

/// Returns the name of `code` that logs and problem documents use.
const char* ToString(FailureCode code);

/// Describes a failed operation: the step that was attempted, the peer it was
/// attempted with, and the reason.
///
///     return leaf::new_error(Failure{FailureCode::kTimeout, "fetch chunk 7",
///                                    "10.0.0.3:7001", "no byte for 2 s"});
struct Failure {
  FailureCode m_code = FailureCode::kInvalid;
  std::string m_step;
  std::string m_peer;
  std::string m_reason;

  friend bool operator==(const Failure&, const Failure&) = default;
};

/// Whether the same request would fail again, as its answer can't be read or
/// its peer doesn't understand it.
inline bool IsUnreadable(const Failure& failure) {
  return failure.m_code == FailureCode::kInvalid ||
         failure.m_code == FailureCode::kCorrupt;
}

/// Formats `failure` as one line, for example
/// "fetch chunk 7 with 10.0.0.3:7001: timeout: no byte for 2 s".
std::string ToString(const Failure& failure);

/// The result of a synchronous function. LEAF passes the Failure to the nearest
/// enclosing handler on this thread without storing it in each return value.
template <typename T>
using Result = boost::leaf::result<T>;

/// The result of a coroutine. It stores the Failure in the returned value,
/// because LEAF keeps error objects in thread-local storage and a coroutine may
/// resume on another thread.
template <typename T>
using AsyncResult = boost::system::result<T, Failure>;

/// Throws std::runtime_error with the text of `failure`. Boost calls this when
/// the value of a failed AsyncResult is accessed.
[[noreturn]] void throw_exception_from_error(
    const Failure& failure,
    const boost::source_location& location);

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_FAILURE_H_
