#include "links/relayed_rows.h"

#include <boost/json.hpp>

#include "base/base64.h"
#include "base/catch_failure.h"
#include "model/json_fields.h"

namespace verbenalead::links {
namespace {

namespace json = boost::json;

/// A near entry answers in a few ms; one whose link was squeezed to a tenth
/// sends 290 KB in 0.6 s.
constexpr Duration kTimeout = 700ms;
constexpr int kOk = 200;

Result<platform::Row> DecodeRow(const json::value& value) {
  if (!value.is_object())
    return model::BadField("rows", "objects");
  platform::Row row;
  BOOST_LEAF_ASSIGN(row.m_key, model::TextField(value.as_object(), "key"));
  BOOST_LEAF_AUTO(text, model::TextField(value.as_object(), "value"));
  BOOST_LEAF_ASSIGN(row.m_value, DecodeBase64(text));
  BOOST_LEAF_ASSIGN(row.m_revision,
                    model::NumberField(value.as_object(), "revision"));
  return row;
}

}  // namespace

std::string EncodeRows(const std::map<std::string, platform::Row>& rows,
                       uint64_t revision,
                       Duration store_time,
                       std::optional<Duration> regained_ago) {
  json::array list;
  for (const auto& [key, row] : rows) {
    // Other writers may have left any bytes there.
    list.push_back(json::object{{"key", key},
                                {"value", EncodeBase64(row.m_value)},
                                {"revision", row.m_revision}});
  }
  json::object object{{"revision", revision},
                      {"store_ms", ToMilliseconds(store_time)},
                      {"rows", std::move(list)}};
  if (regained_ago)
    object["regained_ms_ago"] = ToMilliseconds(*regained_ago);
  return json::serialize(object);
}

Result<RelayedRows> DecodeRows(const std::string& text) {
  BOOST_LEAF_AUTO(object, model::ParseObject(text, "relayed rows"));
  RelayedRows relayed;
  platform::Rows& rows = relayed.m_rows;
  BOOST_LEAF_ASSIGN(rows.m_revision, model::NumberField(object, "revision"));
  BOOST_LEAF_AUTO(store_ms, model::NumberField(object, "store_ms"));
  rows.m_store_time = std::chrono::milliseconds(store_ms);
  if (object.contains("regained_ms_ago")) {
    BOOST_LEAF_AUTO(ago, model::NumberField(object, "regained_ms_ago"));
    relayed.m_regained_ago = std::chrono::milliseconds(ago);
  }
  const json::value* list = object.if_contains("rows");
  if (!list || !list->is_array())
    return model::BadField("rows", "a list");
  for (const json::value& value : list->as_array()) {
    BOOST_LEAF_AUTO(row, DecodeRow(value));
    rows.m_rows.push_back(std::move(row));
  }
  return relayed;
}

Awaitable<AsyncResult<RelayedRows>> FetchRows(wire::Client& http,
                                              Endpoint endpoint,
                                              std::string path) {
  wire::Request request;
  request.m_path = std::move(path);
  const std::string step = "GET " + request.m_path;
  auto response = co_await wire::Fetch(http, endpoint, std::move(request),
                                       Now() + kTimeout);
  if (!response)
    co_return response.error();
  if (response->m_status != kOk) {
    co_return Failure{FailureCode::kRefused, step, ToString(endpoint),
                      "status " + std::to_string(response->m_status)};
  }
  co_return CatchFailure([&] { return DecodeRows(response->m_body); });
}

}  // namespace verbenalead::links
