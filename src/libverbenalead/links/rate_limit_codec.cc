#include "links/rate_limit_codec.h"

#include <boost/json.hpp>
#include <cmath>

#include "links/cold_codec.h"
#include "model/json_fields.h"

namespace verbenalead::links {
namespace {

namespace json = boost::json;

constexpr char kLimit[] = "limit";
constexpr double kNoLimit = -1;
constexpr size_t kReportFields = 2;

double RateOf(const RateLimitReport& report) {
  return report.m_rate.value_or(kNoLimit);
}

Result<RateLimitReport> DecodeReport(const json::array& list) {
  boost::system::error_code bad_rate;
  boost::system::error_code bad_age;
  const auto rate = list[0].to_number<double>(bad_rate);
  const auto age = list[1].to_number<int64_t>(bad_age);
  if (bad_rate || bad_age || !std::isfinite(rate) || age < 0)
    return model::BadField(kLimit, "a rate and an age");
  RateLimitReport report;
  if (rate >= 0)
    report.m_rate = rate;
  report.m_age = std::chrono::milliseconds(age);
  return report;
}

}  // namespace

void EncodeRateLimit(json::object& object,
                     const std::optional<RateLimitReport>& report) {
  if (report)
    object[kLimit] =
        json::array{RateOf(*report), ToMilliseconds(report->m_age)};
}

Result<std::optional<RateLimitReport>> DecodeRateLimit(
    const json::object& object) {
  const json::value* value = object.if_contains(kLimit);
  if (!value)
    return std::optional<RateLimitReport>();
  const json::array* list = value->if_array();
  if (!list || list->size() != kReportFields)
    return model::BadField(kLimit, "a rate and an age");
  BOOST_LEAF_AUTO(report, DecodeReport(*list));
  return std::optional<RateLimitReport>(report);
}

json::object EncodeTokenRequest(const TokenRequest& request) {
  json::object object = {{"replica", request.m_replica},
                         {"ticket", request.m_ticket}};
  EncodeRateLimit(object, request.m_limit);
  EncodeCold(object, request.m_cold);
  EncodeStart(object, request.m_started_ms);
  return object;
}

Result<TokenRequest> DecodeTokenRequest(const json::object& object) {
  TokenRequest request;
  BOOST_LEAF_ASSIGN(request.m_replica, model::TextField(object, "replica"));
  BOOST_LEAF_ASSIGN(request.m_ticket, model::NumberField(object, "ticket"));
  BOOST_LEAF_AUTO(limit, DecodeRateLimit(object));
  if (!limit)
    return model::BadField(kLimit, "a rate and an age");
  request.m_limit = *limit;
  BOOST_LEAF_ASSIGN(request.m_cold, DecodeCold(object));
  BOOST_LEAF_ASSIGN(request.m_started_ms, DecodeStart(object));
  return request;
}

json::object EncodeTokenAnswer(const TokenAnswer& answer) {
  json::object object = {{"replica", answer.m_replica},
                         {"ticket", answer.m_ticket},
                         {"granted", answer.m_granted},
                         {"hold_ms", ToMilliseconds(answer.m_hold_off)}};
  EncodeRateLimit(object, answer.m_limit);
  EncodeCold(object, answer.m_cold);
  EncodeStart(object, answer.m_started_ms);
  return object;
}

Result<TokenAnswer> DecodeTokenAnswer(const json::object& object) {
  TokenAnswer answer;
  BOOST_LEAF_ASSIGN(answer.m_replica, model::TextField(object, "replica"));
  BOOST_LEAF_ASSIGN(answer.m_ticket, model::NumberField(object, "ticket"));
  BOOST_LEAF_ASSIGN(answer.m_granted,
                    model::FlagFieldOr(object, "granted", false));
  BOOST_LEAF_AUTO(hold, model::NumberFieldOr(object, "hold_ms", 0));
  answer.m_hold_off = std::chrono::milliseconds(hold);
  BOOST_LEAF_ASSIGN(answer.m_limit, DecodeRateLimit(object));
  BOOST_LEAF_ASSIGN(answer.m_cold, DecodeCold(object));
  BOOST_LEAF_ASSIGN(answer.m_started_ms, DecodeStart(object));
  return answer;
}

}  // namespace verbenalead::links
