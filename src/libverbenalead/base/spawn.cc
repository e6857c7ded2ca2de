#include "base/spawn.h"

#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <string>

#include "base/log.h"

namespace verbenalead {
namespace {

/// Returns the message of `error`, or "" if there is no error.
std::string ErrorMessage(const std::exception_ptr& error) {
  if (!error)
    return "";
  try {
    std::rethrow_exception(error);
  } catch (const std::exception& exception) {
    return exception.what();
  } catch (...) {
    return "unknown exception";
  }
}

void LogFailure(const char* name, const std::exception_ptr& error) {
  LogLine("task_failed")
      .With("task", name)
      .With("reason", ErrorMessage(error))
      .Error();
}

}  // namespace

void Spawn(const boost::asio::any_io_executor& executor,
           Awaitable<void> task,
           const char* name) {
  boost::asio::co_spawn(executor, std::move(task),
                        [name](const std::exception_ptr& error) {
                          if (error)
                            LogFailure(name, error);
                        });
}

void SpawnLoop(const boost::asio::any_io_executor& executor,
               Awaitable<void> loop,
               const char* name) {
  boost::asio::co_spawn(executor, std::move(loop),
                        [name](const std::exception_ptr& error) {
                          if (!error)
                            return;
                          LogFailure(name, error);
                          std::terminate();
                        });
}

}  // namespace verbenalead
