#ifndef VERBENALEAD_DAEMON_RECORDED_ANSWER_H_
#define VERBENALEAD_DAEMON_RECORDED_ANSWER_H_

#include <string>
#include <string_view>

#include "base/failure.h"
#include "model/outcome.h"

namespace verbenalead::daemon {

/// The answer to a non-idempotent call as it is stored in the table. It is
/// returned to later calls with the same idempotency key, which don't run.
struct RecordedAnswer {
  model::Outcome m_outcome = model::Outcome::kUnknown;
  int m_status = 0;
  std::string m_content_type;
  std::string m_body;
  /// Whether m_body holds the answer. False if the answer was streamed, too
  /// long or not text; m_body must then not be returned as the answer.
  bool m_has_body = false;
  std::string m_request;
  std::string m_target;
  std::string m_version;
  std::string m_reason;

  friend auto operator<=>(const RecordedAnswer&,
                          const RecordedAnswer&) = default;
};

/// Whether `text` is valid UTF-8 and can be part of a JSON document. The table
/// would refuse the whole group of writes that contains an invalid text.
bool IsJsonText(std::string_view text);

std::string ToJson(const RecordedAnswer& answer);
Result<RecordedAnswer> ParseRecordedAnswer(std::string_view json);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_RECORDED_ANSWER_H_
