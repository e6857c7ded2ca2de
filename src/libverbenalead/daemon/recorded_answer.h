#ifndef VERBENALEAD_DAEMON_RECORDED_ANSWER_H_
#define VERBENALEAD_DAEMON_RECORDED_ANSWER_H_

#include <string>
#include <string_view>

#include "base/failure.h"
#include "model/outcome.h"

namespace verbenalead::daemon {

/// The answer to a non-idempotent call, as it is kept in the table for whoever
/// calls again with the same key.
struct RecordedAnswer {
  model::Outcome m_outcome = model::Outcome::kUnknown;
  int m_status = 0;
  std::string m_content_type;
  std::string m_body;
  /// False: the answer was streamed, too long or not text, so m_body does not
  /// hold it, and must not be shown as if it did.
  bool m_whole = false;
  std::string m_request;
  std::string m_target;
  std::string m_version;
  std::string m_reason;

  friend auto operator<=>(const RecordedAnswer&,
                          const RecordedAnswer&) = default;
};

/// Whether `text` is UTF-8, and so can stand in a JSON document. One that is
/// not would make the table refuse the whole group of writes that carries it.
bool IsJsonText(std::string_view text);

std::string ToJson(const RecordedAnswer& answer);
Result<RecordedAnswer> ParseRecordedAnswer(std::string_view json);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_RECORDED_ANSWER_H_
