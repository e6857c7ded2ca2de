#include "links/operator_rows.h"

#include <boost/json.hpp>

#include "base/catch_failure.h"
#include "model/json_fields.h"

namespace verbenalead::links {
namespace {

namespace json = boost::json;

constexpr Duration kTimeout = 700ms;
constexpr int kOk = 200;

}  // namespace

std::string EncodeOperatorRows(const std::map<std::string, platform::Row>& rows,
                               Duration store_time) {
  json::array list;
  for (const auto& [key, row] : rows) {
    list.push_back(json::object{
        {"key", key}, {"value", row.m_value}, {"revision", row.m_revision}});
  }
  return json::serialize(json::object{{"store_ms", ToMilliseconds(store_time)},
                                      {"rows", std::move(list)}});
}

Result<platform::Rows> DecodeOperatorRows(const std::string& text) {
  BOOST_LEAF_AUTO(object, model::ParseObject(text, "operator rows"));
  platform::Rows rows;
  BOOST_LEAF_AUTO(store_ms, model::NumberField(object, "store_ms"));
  rows.m_store_time = std::chrono::milliseconds(store_ms);
  const json::value* list = object.if_contains("rows");
  if (!list || !list->is_array())
    return model::BadField("rows", "a list");
  for (const json::value& value : list->as_array()) {
    if (!value.is_object())
      return model::BadField("rows", "objects");
    platform::Row row;
    BOOST_LEAF_ASSIGN(row.m_key, model::TextField(value.as_object(), "key"));
    BOOST_LEAF_ASSIGN(row.m_value,
                      model::TextField(value.as_object(), "value"));
    BOOST_LEAF_ASSIGN(row.m_revision,
                      model::NumberField(value.as_object(), "revision"));
    rows.m_rows.push_back(std::move(row));
  }
  return rows;
}

Awaitable<AsyncResult<platform::Rows>> FetchOperatorRows(wire::Client& http,
                                                         Endpoint endpoint) {
  wire::Request request;
  request.m_path = kOperatorRowsPath;
  auto response = co_await wire::Fetch(http, endpoint, std::move(request),
                                       Now() + kTimeout);
  if (!response)
    co_return response.error();
  if (response->m_status != kOk) {
    co_return Failure{FailureCode::kRefused, "GET operator rows",
                      ToString(endpoint),
                      "status " + std::to_string(response->m_status)};
  }
  co_return CatchFailure([&] { return DecodeOperatorRows(response->m_body); });
}

}  // namespace verbenalead::links
