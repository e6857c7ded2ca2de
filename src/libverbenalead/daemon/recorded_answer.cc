#include "daemon/recorded_answer.h"

#include <boost/json.hpp>

#include "model/json_fields.h"
#include "wire/status.h"

namespace verbenalead::daemon {

namespace json = boost::json;

bool IsJsonText(std::string_view text) {
  boost::system::error_code error;
  json::parse(json::serialize(json::string(text)), error);
  return !error;
}

std::string ToJson(const RecordedAnswer& answer) {
  return json::serialize(json::object{{"outcome", ToString(answer.m_outcome)},
                                      {"status", answer.m_status},
                                      {"content_type", answer.m_content_type},
                                      {"body", answer.m_body},
                                      {"whole", answer.m_has_body},
                                      {"request", answer.m_request},
                                      {"target", answer.m_target},
                                      {"version", answer.m_version},
                                      {"reason", answer.m_reason}});
}

Result<RecordedAnswer> ParseRecordedAnswer(std::string_view text) {
  BOOST_LEAF_AUTO(object, model::ParseObject(text, "recorded answer"));
  RecordedAnswer answer;
  BOOST_LEAF_AUTO(outcome, model::TextField(object, "outcome"));
  BOOST_LEAF_ASSIGN(answer.m_outcome, model::ParseOutcome(outcome));
  BOOST_LEAF_AUTO(status, model::NumberField(object, "status"));
  answer.m_status = static_cast<int>(status);
  BOOST_LEAF_ASSIGN(answer.m_content_type,
                    model::TextField(object, "content_type"));
  BOOST_LEAF_ASSIGN(answer.m_body, model::TextField(object, "body"));
  BOOST_LEAF_AUTO(whole, model::FlagFieldOr(object, "whole", false));
  answer.m_has_body = whole && wire::IsFinalStatus(answer.m_status);
  BOOST_LEAF_ASSIGN(answer.m_request, model::TextField(object, "request"));
  BOOST_LEAF_ASSIGN(answer.m_target, model::TextField(object, "target"));
  BOOST_LEAF_ASSIGN(answer.m_version, model::TextField(object, "version"));
  BOOST_LEAF_ASSIGN(answer.m_reason, model::TextField(object, "reason"));
  return answer;
}

}  // namespace verbenalead::daemon
