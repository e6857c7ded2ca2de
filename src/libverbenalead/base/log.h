#ifndef VERBENALEAD_BASE_LOG_H_
#define VERBENALEAD_BASE_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/failure.h"

namespace verbenalead {

/// One event, one line of key=value pairs.
///
///     LogLine("place").With("request", id).With("target", host).Info();
///
/// prints `time=... level=info event=place request=r-1 target=h3`. Values that
/// hold spaces, quotes, '=' or control characters are quoted and escaped, so
/// that one event can never look like two. May be used from several threads.
class LogLine {
 public:
  explicit LogLine(std::string_view event);

  LogLine& With(std::string_view key, std::string_view value);
  LogLine& With(std::string_view key, const char* value);
  LogLine& With(std::string_view key, int64_t value);
  LogLine& With(std::string_view key, uint64_t value);
  LogLine& With(std::string_view key, int value);
  LogLine& With(std::string_view key, double value);
  LogLine& With(std::string_view key, bool value);
  /// Adds the step, peer, error and reason of `failure`.
  LogLine& With(const Failure& failure);

  void Debug() const;
  void Info() const;
  void Warn() const;
  void Error() const;

  const std::string& text() const { return m_text; }

 private:
  std::string m_text;
};

/// Where the lines of a process go.
enum class LogTarget {
  kStandardError,
  /// Never waits: a line that the reader of the stream has no room for is
  /// dropped and counted; the next line that gets through tells how many.
  kStandardOutput,
};

/// Starts the log of this process under the name `program`. `level` is debug,
/// info, warn or error.
void StartLog(const std::string& program,
              const std::string& level,
              LogTarget target = LogTarget::kStandardError);

/// `value` as it stands in a log line: quoted and escaped where needed.
std::string EscapeLogValue(std::string_view value);

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_LOG_H_
