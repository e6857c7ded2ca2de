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
  std::string m_request;
  std::string m_target;
  std::string m_version;
  std::string m_reason;

  friend auto operator<=>(const RecordedAnswer&,
                          const RecordedAnswer&) = default;
};

std::string ToJson(const RecordedAnswer& answer);
Result<RecordedAnswer> ParseRecordedAnswer(std::string_view json);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_RECORDED_ANSWER_H_
