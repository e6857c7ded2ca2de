#ifndef VERBENALEAD_BASE_FAILURE_H_
#define VERBENALEAD_BASE_FAILURE_H_

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <boost/system/result.hpp>
#include <string>

namespace verbenalead {

/// What an operation that failed says of itself: the step that was tried, the
/// peer it was tried with, and what was found.
///
///     return leaf::new_error(Failure{FailureCode::kTimeout, "fetch chunk 7",
///                                    "10.0.0.3:7001", "no byte for 2 s"});
enum class FailureCode {
  kInvalid,      ///< The input is wrong; trying again won't help.
  kNotFound,     ///< The named thing does not exist.
  kConflict,     ///< Somebody else's write came first.
  kTimeout,      ///< No answer in time: the effect is unknown.
  kUnreachable,  ///< No connection was made: nothing was sent.
  kBroken,       ///< The connection broke midway: the effect is unknown.
  kRefused,      ///< The peer answered that it did nothing.
  kCorrupt,      ///< The bytes are not those that were declared.
  kCancelled,    ///< This side gave up.
};

/// The name of `code` as it stands in logs and problem documents.
const char* ToString(FailureCode code);

struct Failure {
  FailureCode m_code = FailureCode::kInvalid;
  std::string m_step;
  std::string m_peer;
  std::string m_reason;

  friend bool operator==(const Failure&, const Failure&) = default;
};

/// One sentence: "fetch chunk 7 with 10.0.0.3:7001: timeout: no byte for 2 s".
std::string ToString(const Failure& failure);

/// The result of a synchronous function. LEAF hands the Failure to the nearest
/// handler on this thread without storing it in every return value.
template <typename T>
using Result = boost::leaf::result<T>;

/// The result of a coroutine. LEAF keeps error objects in slots of the current
/// thread, and a coroutine may resume on another one, so here the Failure
/// travels inside the value.
template <typename T>
using AsyncResult = boost::system::result<T, Failure>;

[[noreturn]] void throw_exception_from_error(
    const Failure& failure,
    const boost::source_location& location);

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_FAILURE_H_
