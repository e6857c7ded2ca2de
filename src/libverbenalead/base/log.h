#ifndef VERBENALEAD_BASE_LOG_H_
#define VERBENALEAD_BASE_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/failure.h"

namespace verbenalead {

/// Builds one log line of key=value pairs for one event.
///
///     LogLine("place").With("request", id).With("target", host).Info();
///
/// prints `time=... level=info event=place request=r-1 target=h3`. Values with
/// spaces, quotes, '=', backslashes or control characters are quoted and
/// escaped, so that a value cannot forge a second event. Lines may be written
/// from several threads at once.
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

/// The stream that the log lines of a process are written to.
enum class LogTarget {
  kStandardError,
  /// Writing never blocks: a line is dropped and counted if the stream's buffer
  /// is full. The count is logged before the next line that can be written.
  kStandardOutput,
};

/// Sets up logging for this process; each line has the field
/// `program=<program>`. `level` is debug, info, warn or error.
void StartLog(const std::string& program,
              const std::string& level,
              LogTarget target = LogTarget::kStandardError);

/// Returns `value` quoted and escaped for a log line where needed.
std::string EscapeLogValue(std::string_view value);

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_LOG_H_
