#include "links/relayed_rows.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

#include "base/base64.h"
#include "base/boot_clock.h"
#include "base/catch_failure.h"
#include "base/deflate.h"
#include "base/log.h"
#include "links/revision_codec.h"
#include "model/json_fields.h"

namespace verbenalead::links {
namespace {

namespace json = boost::json;

/// Longest time without progress of an answer, and for the whole answer. An
/// entry in the same data centre answers within a few ms. One that sends 390 KB
/// to 14 processes at once over a link of 40 Mbit/s takes a second, but makes
/// progress all the time.
constexpr Duration kProgressTimeout = 700ms;
constexpr Duration kTotalTimeout = 5s;
constexpr int kOk = 200;
/// Limits for the size of a table, compressed and not, which bound the memory
/// that a corrupt answer can take. Several times 3,000 replicas and a large
/// configuration fit into them.
constexpr size_t kMaxCompressedBytes = size_t{8} << 20;
constexpr size_t kMaxTableBytes = size_t{16} << 20;

constexpr char kProof[] = "proof-ms";
constexpr char kSentAt[] = "told-at-ms";
constexpr char kEncoding[] = "content-encoding";
constexpr char kDeflate[] = "deflate";
constexpr char kRegainedAgo[] = "regained-ms-ago";
constexpr char kProofAge[] = "proof-age-ms";

/// Returns nothing if the field is absent or isn't a number.
std::optional<Duration> TimeField(const wire::Headers& headers,
                                  const char* name) {
  const std::string text = wire::Get(headers, name);
  int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end == text.data())
    return std::nullopt;
  return std::chrono::milliseconds(value);
}

std::string TimeText(Duration time) {
  return std::to_string(ToMilliseconds(time));
}

/// Whether `value` can be put into JSON unchanged. Rows by other writers may
/// hold arbitrary bytes, which need base64. Plain text isn't encoded that way,
/// because it compresses to a fourth of the size of its compressed base64.
bool IsPlainText(const std::string& value) {
  return std::all_of(value.begin(), value.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

Result<platform::Row> DecodeRow(const json::object& object,
                                uint64_t table_era) {
  platform::Row row;
  BOOST_LEAF_ASSIGN(row.m_key, model::TextField(object, "key"));
  if (object.contains("text")) {
    BOOST_LEAF_ASSIGN(row.m_value, model::TextField(object, "text"));
  } else {
    BOOST_LEAF_AUTO(text, model::TextField(object, "value"));
    BOOST_LEAF_ASSIGN(row.m_value, DecodeBase64(text));
  }
  BOOST_LEAF_AUTO(number, model::NumberField(object, "revision"));
  BOOST_LEAF_ASSIGN(row.m_revision, DecodeRevision(object, table_era));
  row.m_revision.m_number = number;
  const json::value* deleted = object.if_contains("deleted");
  row.m_deleted = deleted && deleted->is_bool() && deleted->as_bool();
  return row;
}

Result<bool> AddRow(const json::value& value,
                    const RelayMetadata& facts,
                    RelayedRows& relayed) {
  const json::object* object = value.if_object();
  if (!object)
    return model::BadField("rows", "objects");
  BOOST_LEAF_AUTO(row, DecodeRow(*object, relayed.m_rows.m_revision.m_era));
  BOOST_LEAF_AUTO(seen, model::NumberFieldOr(*object, "seen_ms", 0));
  const Duration seen_at = std::chrono::milliseconds(seen);
  if (seen > 0 && facts.m_sent_at >= seen_at)
    relayed.m_max_ages[row.m_key] = facts.m_sent_at - seen_at;
  relayed.m_rows.m_rows.push_back(std::move(row));
  return true;
}

Result<RelayedRows> ReadRelayed(const wire::Response& response) {
  const RelayMetadata facts = DecodeRelayMetadata(response.m_headers);
  if (wire::Get(response.m_headers, kEncoding) != kDeflate)
    return DecodeRows(response.m_body, facts);
  BOOST_LEAF_AUTO(text, Inflate(response.m_body, kMaxTableBytes));
  return DecodeRows(text, facts);
}

}  // namespace

wire::Headers EncodeRelayMetadata(const RelayMetadata& facts) {
  wire::Headers headers = {{"content-type", "application/json"},
                           {kEncoding, kDeflate},
                           {kProof, TimeText(facts.m_confirmed_at)},
                           {kSentAt, TimeText(facts.m_sent_at)}};
  if (facts.m_store_regained_ago)
    headers[kRegainedAgo] = TimeText(*facts.m_store_regained_ago);
  if (facts.m_proof_age)
    headers[kProofAge] = TimeText(*facts.m_proof_age);
  return headers;
}

RelayMetadata DecodeRelayMetadata(const wire::Headers& headers) {
  RelayMetadata facts;
  facts.m_confirmed_at = TimeField(headers, kProof).value_or(Duration());
  facts.m_sent_at = TimeField(headers, kSentAt).value_or(Duration());
  facts.m_store_regained_ago = TimeField(headers, kRegainedAgo);
  facts.m_proof_age = TimeField(headers, kProofAge);
  return facts;
}

std::string EncodeRows(const std::map<std::string, platform::Row>& rows,
                       model::Revision revision,
                       const EarliestWriteTimes& seen) {
  json::array list;
  for (const auto& [key, row] : rows) {
    json::object object{{"key", key}, {"revision", row.m_revision.m_number}};
    if (row.m_revision.m_era != revision.m_era)
      object["era"] = row.m_revision.m_era;
    if (row.m_deleted)
      object["deleted"] = true;
    if (IsPlainText(row.m_value))
      object["text"] = row.m_value;
    else
      object["value"] = EncodeBase64(row.m_value);
    const auto time = seen.find(key);
    if (time != seen.end())
      object["seen_ms"] = ToMilliseconds(time->second);
    list.push_back(std::move(object));
  }
  return json::serialize(json::object{{"revision", revision.m_number},
                                      {"era", revision.m_era},
                                      {"rows", std::move(list)}});
}

Result<RelayedRows> DecodeRows(const std::string& text,
                               const RelayMetadata& facts) {
  BOOST_LEAF_AUTO(object, model::ParseObject(text, "relayed rows"));
  RelayedRows relayed;
  platform::Rows& rows = relayed.m_rows;
  BOOST_LEAF_AUTO(number, model::NumberField(object, "revision"));
  BOOST_LEAF_ASSIGN(rows.m_revision, DecodeRevision(object));
  rows.m_revision.m_number = number;
  rows.m_store_time = facts.m_confirmed_at;
  relayed.m_store_regained_ago = facts.m_store_regained_ago;
  relayed.m_proof_age = facts.m_proof_age;
  const json::value* list = object.if_contains("rows");
  if (!list || !list->is_array())
    return model::BadField("rows", "a list");
  for (const json::value& value : list->as_array()) {
    // A row that can't be read must not hide the others.
    const auto added =
        CatchFailure([&] { return AddRow(value, facts, relayed); });
    if (!added)
      LogLine("relayed_row_left_out").With(added.error()).Warn();
  }
  return relayed;
}

Awaitable<AsyncResult<RelayedRows>> FetchRows(wire::Client& http,
                                              Endpoint endpoint,
                                              std::string path,
                                              bool may_be_deferred) {
  wire::Request request;
  request.m_path = std::move(path);
  if (may_be_deferred)
    request.m_headers[kMayBeDeferred] = "1";
  const std::string step = "GET " + request.m_path;
  const TimePoint requested_at = Now();
  const Duration asked_at = BootNow();
  const wire::ProgressTimeouts timeouts = {kProgressTimeout, kProgressTimeout,
                                           kTotalTimeout};
  auto response = co_await wire::FetchByProgress(
      http, endpoint, std::move(request), timeouts, kMaxCompressedBytes);
  if (!response)
    co_return response.error();
  if (response->m_status != kOk) {
    co_return Failure{FailureCode::kRefused, step, ToString(endpoint),
                      "status " + std::to_string(response->m_status)};
  }
  auto relayed = CatchFailure([&] { return ReadRelayed(*response); });
  if (!relayed)
    co_return relayed.error();
  relayed->m_rows.m_asked_at = asked_at;
  // m_sent_at was set at an unknown moment between the request and the answer,
  // and the ages are upper bounds, so the whole duration of the request is
  // added.
  for (auto& [key, age] : relayed->m_max_ages)
    age += Now() - requested_at;
  co_return std::move(*relayed);
}

}  // namespace verbenalead::links
