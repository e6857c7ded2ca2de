#ifndef VERBENALEAD_BASE_CATCH_FAILURE_H_
#define VERBENALEAD_BASE_CATCH_FAILURE_H_

#include <boost/leaf/handle_errors.hpp>
#include <type_traits>
#include <utility>

#include "base/failure.h"

namespace verbenalead {
namespace internal {

template <typename T>
struct ResultValue;
template <typename T>
struct ResultValue<Result<T>> {
  using type = T;
};

}  // namespace internal

/// Calls `function`, which returns Result<T>, and converts the result,
/// including a Failure, to an AsyncResult<T>. Coroutines call synchronous
/// functions through it: LEAF stores errors per thread, so an error would be
/// lost if the coroutine resumed on another thread.
template <typename Function>
auto CatchFailure(Function&& function) {
  using Value = typename internal::ResultValue<decltype(function())>::type;
  using Converted = AsyncResult<Value>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Converted> {
        auto result = function();
        if (!result)
          return result.error();
        if constexpr (std::is_void_v<Value>)
          return Converted();
        else
          return Converted(std::move(result.value()));
      },
      [](const Failure& failure) { return Converted(failure); },
      [] {
        return Converted(
            Failure{FailureCode::kInvalid, "unknown", "", "no detail"});
      });
}

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_CATCH_FAILURE_H_
